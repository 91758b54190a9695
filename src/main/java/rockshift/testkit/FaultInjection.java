package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.SafetyRules;
import rockshift.raft.TermAndVote;

/**
 * The points at which the code of simulated members can be made wrong. As it stands nothing is; a
 * test of the checks overrides one method, and the explorer must find it.
 */
public class FaultInjection {
    /** The safety conditions that the members go by. */
    public SafetyRules rules() {
        return new SafetyRules();
    }

    /** Whether disks say that they have synced without doing so. */
    public boolean skipsSync() {
        return false;
    }

    /** The vote as it reaches the disk. */
    public TermAndVote persistedVote(TermAndVote vote) {
        return vote;
    }

    /** The sessions as a member takes them from its own disk. */
    public List<ClientSessions.Session> recoveredSessions(List<ClientSessions.Session> sessions) {
        return sessions;
    }

    /** The number of a member whose disk was wiped. */
    public long memberIdAfterWipe(long before, RandomGenerator random) {
        return randomId(random);
    }

    static long randomId(RandomGenerator random) {
        return random.nextLong() >>> 1 | 1;
    }

    /** How far clocks drift from the true rate at most, as a fraction. */
    public double maxClockDrift() {
        return 0.04;
    }
}
