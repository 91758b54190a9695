package rockshift.raft;

/**
 * Whether the leader may answer reads without asking a quorum: for an election timeout, less the
 * allowed clock drift, after it began the last round that a quorum has answered, no other member
 * can be elected. Guards against a leader that answers reads from old state after another has taken
 * over. That holds only while clocks run alike, so proven drift ends leases for the rest of the
 * term, and so does a leadership transfer, as its target campaigns without waiting.
 */
final class LeaderLease {
    private final Timing timing;
    private final SafetyRules rules;
    private boolean driftExceeded;

    LeaderLease(Timing timing, SafetyRules rules) {
        this.timing = timing;
        this.rules = rules;
    }

    /** This member begins to lead in a new term. */
    void startTerm() {
        driftExceeded = false;
    }

    /** Takes the proven drift of a follower's clock; true if it is the first beyond the limit. */
    boolean recordDrift(double driftRatio) {
        if (driftRatio <= timing.maxClockDriftRatio() || driftExceeded) {
            return false;
        }
        driftExceeded = true;
        return true;
    }

    /** Whether leases are used in this term, whatever a quorum has answered. */
    boolean isUsable(boolean transferStartedInTerm) {
        return timing.leaseReads() && !driftExceeded && rules.mayHoldLease(transferStartedInTerm);
    }

    /** Whether the lease holds that began when a round which a quorum has answered was begun. */
    boolean holds(long nowTicks, long quorumRoundStartTicks) {
        return nowTicks < rules.leaseExpiry(quorumRoundStartTicks, timing);
    }
}
