package rockshift.testkit;

import java.util.List;
import java.util.random.RandomGenerator;
import rockshift.raft.ClientSessions;
import rockshift.raft.SafetyRules;
import rockshift.raft.TermAndVote;

/**
 * The points at which a simulated world can be made to do wrong. As it stands nothing is wrong; a
 * test of the checks overrides one method, and the explorer must find it.
 */
public class FaultInjection {
    public SafetyRules rules() {
        return new SafetyRules();
    }

    /** Whether disks say that they have synced without doing so. */
    public boolean skipsSync() {
        return false;
    }

    /** The ballot as it reaches the disk. */
    public TermAndVote saved(TermAndVote ballot) {
        return ballot;
    }

    /** The sessions as a member takes them from its own disk. */
    public List<ClientSessions.Session> recovered(List<ClientSessions.Session> sessions) {
        return sessions;
    }

    /** The number of a member whose disk was wiped. */
    public long numberAfterWipe(long before, RandomGenerator chance) {
        return number(chance);
    }

    static long number(RandomGenerator chance) {
        return chance.nextLong() >>> 1 | 1;
    }

    /** How far clocks run from the true rate, at most. */
    public double clocksApart() {
        return 0.04;
    }
}
