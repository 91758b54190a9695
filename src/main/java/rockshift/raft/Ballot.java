package rockshift.raft;

/**
 * What a member must never forget: the newest term that it knows, and whom it voted for in it (0:
 * nobody).
 */
public record Ballot(long term, long vote) {
    public static final Ballot NONE = new Ballot(0, 0);
}
