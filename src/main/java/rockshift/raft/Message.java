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
     * @param preVote only asks whether the vote would be given, and binds nobody; its term is the
     *     one that would come
     * @param leadershipTransfer the leader itself handed over, so that hearing from it is no reason
     *     to refuse
     */
    record VoteRequest(
            long from,
            long to,
            long term,
            long lastLogIndex,
            long lastLogTerm,
            boolean preVote,
            boolean leadershipTransfer)
            implements Message {}

    /** Answers {@link VoteRequest}. */
    record VoteResponse(long from, long to, long term, boolean preVote, boolean granted)
            implements Message {}

    /**
     * Entries to follow those up to {@code prevIndex}, perhaps none.
     *
     * @param round rises with each time that the leader speaks to all; answers bring it back
     * @param sentAtTicks the leader's clock as it began the round
     */
    record AppendRequest(
            long from,
            long to,
            long term,
            long prevLogIndex,
            long prevLogTerm,
            long leaderCommitIndex,
            long round,
            long sentAtTicks,
            List<Entry> entries)
            implements Message {}

    /**
     * Answers {@link AppendRequest} or the last {@link SnapshotChunk}.
     *
     * @param matchIndex up to where the logs are the same and saved; of a refusal, where they may
     *     part
     * @param conflictTerm of a refusal, the follower's term there
     * @param rejectedIndex of a refusal, the index that was missing
     * @param followerClockTicks the follower's own clock
     */
    record AppendResponse(
            long from,
            long to,
            long term,
            boolean success,
            long matchIndex,
            long conflictTerm,
            long rejectedIndex,
            long round,
            long sentAtTicks,
            long followerClockTicks)
            implements Message {}

    /** A part of a snapshot, for a follower that lacks entries which the leader no longer has. */
    record SnapshotChunk(
            long from,
            long to,
            long term,
            long snapshotIndex,
            long snapshotTerm,
            Membership membership,
            int totalBytes,
            int checksum,
            int offset,
            byte[] bytes,
            long round,
            long sentAtTicks)
            implements Message {}

    /** How much of a snapshot is held. */
    record SnapshotChunkResponse(
            long from,
            long to,
            long term,
            long snapshotIndex,
            int receivedBytes,
            long round,
            long sentAtTicks,
            long followerClockTicks)
            implements Message {}

    /** The leader hands over: campaign now. */
    record TimeoutNow(long from, long to, long term) implements Message {}
}
