package rockshift.raft;

import java.util.List;

/**
 * What members tell each other. Every message names who sends it, who it is meant for and the
 * sender's term.
 */
public sealed interface Message {
    long from();

    long to();

    long term();

    /**
     * Asks for a vote.
     *
     * @param trial only asks whether the vote would be given, and binds nobody; its term is the one
     *     that would come
     * @param forced the leader itself handed over, so that hearing from it is no reason to refuse
     */
    record Ask(
            long from,
            long to,
            long term,
            long lastIndex,
            long lastTerm,
            boolean trial,
            boolean forced)
            implements Message {}

    /** Answers {@link Ask}. */
    record Vote(long from, long to, long term, boolean trial, boolean given) implements Message {}

    /**
     * Entries to follow those up to {@code prevIndex}, perhaps none.
     *
     * @param round rises with each time that the leader speaks to all; answers bring it back
     * @param sentAt the leader's clock as it began the round
     */
    record Append(
            long from,
            long to,
            long term,
            long prevIndex,
            long prevTerm,
            long commit,
            long round,
            long sentAt,
            List<Entry> entries)
            implements Message {}

    /**
     * Answers {@link Append} or the last {@link Piece}.
     *
     * @param match up to where the logs are the same and saved; of a refusal, where they may part
     * @param hintTerm of a refusal, the follower's term there
     * @param refused of a refusal, the index that was missing
     * @param clock the follower's own clock
     */
    record Appended(
            long from,
            long to,
            long term,
            boolean ok,
            long match,
            long hintTerm,
            long refused,
            long round,
            long sentAt,
            long clock)
            implements Message {}

    /** A part of a snapshot, for a follower that lacks entries which the leader no longer has. */
    record Piece(
            long from,
            long to,
            long term,
            long index,
            long snapshotTerm,
            Membership members,
            int total,
            int checksum,
            int offset,
            byte[] bytes,
            long round,
            long sentAt)
            implements Message {}

    /** How much of a snapshot is held. */
    record Taken(
            long from,
            long to,
            long term,
            long index,
            int offset,
            long round,
            long sentAt,
            long clock)
            implements Message {}

    /** The leader hands over: campaign now. */
    record Campaign(long from, long to, long term) implements Message {}
}
