package rockshift.raft;

/**
 * What became of a proposal.
 *
 * @param index where the leader appended it; 0 if it was rejected
 * @param rejection why it was rejected; null if it was appended
 */
public record ProposalResult(long index, ProposalRejection rejection) {
    static ProposalResult appended(long index) {
        return new ProposalResult(index, null);
    }

    static ProposalResult rejected(ProposalRejection reason) {
        return new ProposalResult(0, reason);
    }

    /** Whether the proposal is in the leader's log; it may still not be committed. */
    public boolean isAppended() {
        return rejection == null;
    }
}
