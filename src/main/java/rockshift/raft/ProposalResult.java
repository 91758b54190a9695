package rockshift.raft;

/**
 * The result of a proposal.
 *
 * @param index the index at which the leader appended it; 0 if it was rejected
 * @param rejection why it was rejected; null if it was appended
 */
public record ProposalResult(long index, ProposalRejection rejection) {
    static ProposalResult appended(long index) {
        return new ProposalResult(index, null);
    }

    static ProposalResult rejected(ProposalRejection reason) {
        return new ProposalResult(0, reason);
    }

    /** Returns whether the proposal is in the leader's log. It may not be committed yet. */
    public boolean isAppended() {
        return rejection == null;
    }
}
