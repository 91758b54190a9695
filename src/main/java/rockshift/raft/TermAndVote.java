package rockshift.raft;

/**
 * What a member must never forget: the newest term that it knows, and whom it voted for in it (0:
 * nobody).
 */
public record TermAndVote(long term, long votedFor) {
    public static final TermAndVote NONE = new TermAndVote(0, 0);
}
