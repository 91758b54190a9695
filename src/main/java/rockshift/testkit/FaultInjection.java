package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.SafetyRules;
import rockshift.raft.TermAndVote;

/**
 * The points at which faults can be injected into simulated members and hosts. This class injects
 * no code faults; a test of the checks overrides one method, and the explorer must find the
 * violation.
 */
public class FaultInjection {
    /** The safety rules of the members. */
    public SafetyRules rules() {
        return new SafetyRules();
    }

    /** Whether disks report a sync without making data durable. */
    public boolean skipsSync() {
        return false;
    }

    /** The term and vote that are written to disk in place of the given ones. */
    public TermAndVote persistedVote(TermAndVote vote) {
        return vote;
    }

    /** The client sessions that a member restores from its disk in place of the given ones. */
    public List<ClientSessions.Session> recoveredSessions(List<ClientSessions.Session> sessions) {
        return sessions;
    }

    /** The ID of a member after its disk was wiped. */
    public long memberIdAfterWipe(long previousId, RandomGenerator random) {
        return randomId(random);
    }

    static long randomId(RandomGenerator random) {
        return random.nextLong() >>> 1 | 1;
    }

    /** The maximum deviation of clock rates from the true rate, as a fraction. */
    public double maxClockDrift() {
        return 0.04;
    }
}
