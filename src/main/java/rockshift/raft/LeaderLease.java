package rockshift.raft;

/**
 * The lease under which the leader may answer reads without asking a quorum. After the start of the
 * last round that a quorum has answered, no other member can be elected for an election timeout,
 * less the allowed clock drift. So a leader never answers reads from old state after another member
 * has taken over. This requires clocks that run at nearly the same rate: proven drift disables the
 * lease for the rest of the term. A leadership transfer disables it too, as its target campaigns
 * without waiting.
 */
final class LeaderLease {
    private final Timing timing;
    private final SafetyRules rules;
    private boolean driftExceeded;

    LeaderLease(Timing timing, SafetyRules rules) {
        this.timing = timing;
        this.rules = rules;
    }

    /** Resets the lease as this member begins a new term as leader. */
    void startTerm() {
        driftExceeded = false;
    }

    /**
     * Records the proven drift of a follower's clock.
     *
     * @return whether it is the first in this term beyond the limit
     */
    boolean recordDrift(double driftRatio) {
        if (driftRatio <= timing.maxClockDriftRatio() || driftExceeded) {
            return false;
        }
        driftExceeded = true;
        return true;
    }

    /**
     * Returns whether leases may be used in this term at all, whatever rounds a quorum has
     * answered.
     */
    boolean isUsable(boolean transferStartedInTerm) {
        return timing.leaseReads() && !driftExceeded && rules.mayHoldLease(transferStartedInTerm);
    }

    /**
     * Returns whether the lease that began with a round is valid.
     *
     * @param quorumRoundStartTicks the start of a round that a quorum has answered
     */
    boolean isValid(long nowTicks, long quorumRoundStartTicks) {
        return nowTicks < rules.leaseExpiry(quorumRoundStartTicks, timing);
    }
}
