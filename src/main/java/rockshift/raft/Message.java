package rockshift.raft;

import java.util.List;

/**
 * What members send each other. Every message names its sender, its receiver and the sender's term.
 * Times are ticks of 100 us on the clock of the member that is named.
 */
public sealed interface Message {
    /** The member that sent it. */
    long from();

    /** The member that it is for. */
    long to();

    /** The sender's current term; of a pre-vote, the term that would come. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param lastLogIndex the last entry of the candidate's log
     * @param lastLogTerm the term of that entry
     * @param preVote only asks whether the vote would be given, and binds nobody
     * @param leadershipTransfer the leader itself handed over, so contact with it is no reason to
     *     refuse
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
     * Entries that follow {@code prevLogIndex}; with none it is a heartbeat.
     *
     * @param round the leader's round of heartbeats; the answer brings it back
     * @param sentAtTicks the leader's clock when it began the round
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
     * @param success whether the follower's log has the entry before those that were sent
     * @param matchIndex up to where the logs are the same and durable; of a rejection, up to where
     *     they may be the same
     * @param conflictTerm of a rejection, the follower's term at {@code matchIndex}
     * @param rejectedIndex of a rejection, the index at which the logs differ
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
            implements Message {
        /** The log matches the leader's up to an index, as of what the leader sent. */
        static AppendResponse matched(
                AppendRequest request, long term, long matchIndex, long nowTicks) {
            return matched(
                    request, term, matchIndex, request.round(), request.sentAtTicks(), nowTicks);
        }

        /** The log matches the leader's up to an index, which the chunk's snapshot includes. */
        static AppendResponse matched(
                SnapshotChunk chunk, long term, long matchIndex, long nowTicks) {
            return matched(chunk, term, matchIndex, chunk.round(), chunk.sentAtTicks(), nowTicks);
        }

        private static AppendResponse matched(
                Message answered,
                long term,
                long matchIndex,
                long round,
                long sentAtTicks,
                long nowTicks) {
            return new AppendResponse(
                    answered.to(),
                    answered.from(),
                    term,
                    true,
                    matchIndex,
                    0,
                    0,
                    round,
                    sentAtTicks,
                    nowTicks);
        }
    }

    /**
     * A chunk of a snapshot, for a follower that lacks entries which the leader no longer has.
     *
     * @param totalBytes the size of the whole snapshot
     * @param checksum that of the whole snapshot
     * @param offset where this chunk begins in it
     */
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

    /** Answers {@link SnapshotChunk}: how much of the snapshot the follower holds. */
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

    /** The leader hands over: the receiver campaigns at once. */
    record TimeoutNow(long from, long to, long term) implements Message {}
}
