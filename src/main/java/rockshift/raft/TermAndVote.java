package rockshift.raft;

/**
 * What a member must never forget, or it could vote twice in a term.
 *
 * @param term the newest term that it knows
 * @param votedFor the member that it voted for in that term, 0 if none
 */
public record TermAndVote(long term, long votedFor) {
    /** The state of a blank member. */
    public static final TermAndVote NONE = new TermAndVote(0, 0);
}
