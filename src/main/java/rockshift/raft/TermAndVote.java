package rockshift.raft;

/**
 * A member's current term and the vote given in it. Must be durable, or the member could vote twice
 * in one term after a crash.
 *
 * @param term the newest term known to the member
 * @param votedFor the id of the member voted for in that term, 0 if none
 */
public record TermAndVote(long term, long votedFor) {
    /** The state of a new member. */
    public static final TermAndVote NONE = new TermAndVote(0, 0);
}
