package rockshift.raft;

import java.util.List;

/**
 * A message between members. Every message contains its sender, its receiver and the sender's term.
 * Times are in ticks of 100 us: {@code sentAtTicks} on the leader's clock, {@code
 * followerClockTicks} on the follower's.
 */
public sealed interface Message {
    /** Returns the id of the sender. */
    long from();

    /** Returns the id of the receiver. */
    long to();

    /**
     * Returns the sender's current term. In a pre-vote request, and a response that grants it, the
     * term that the candidate would campaign in.
     */
    long term();

    /**
     * Requests a vote.
     *
     * @param lastLogIndex the index of the last entry of the candidate's log
     * @param lastLogTerm the term of that entry
     * @param preVote whether this only asks if the vote would be granted, which binds nobody
     * @param leadershipTransfer whether the leader itself handed over leadership, so that contact
     *     with it is no reason to refuse
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

    /** The response to {@link VoteRequest}. */
    record VoteResponse(long from, long to, long term, boolean preVote, boolean granted)
            implements Message {}

    /**
     * Log entries that follow {@code prevLogIndex}; without entries it is a heartbeat.
     *
     * @param round the number of the leader's heartbeat round, returned in the response
     * @param sentAtTicks the leader's clock at the start of the round
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
     * The response to {@link AppendRequest} and to the last {@link SnapshotChunk} of a snapshot.
     *
     * @param success whether the follower's log has the entry that precedes those in the request
     * @param matchIndex the index up to which the logs match and are durable; in a rejection, up to
     *     which they may match
     * @param conflictTerm in a rejection, the follower's term at {@code matchIndex}
     * @param rejectedIndex in a rejection, the {@code prevLogIndex} of the request, at which the
     *     logs differ
     * @param followerClockTicks the follower's clock when it responded
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
        /**
         * Returns the response to a request after which the logs match up to {@code matchIndex}.
         */
        static AppendResponse matched(
                AppendRequest request, long term, long matchIndex, long nowTicks) {
            return matched(
                    request, term, matchIndex, request.round(), request.sentAtTicks(), nowTicks);
        }

        /**
         * Returns the response to the last chunk of a snapshot that includes {@code matchIndex}.
         */
        static AppendResponse matched(
                SnapshotChunk chunk, long term, long matchIndex, long nowTicks) {
            return matched(chunk, term, matchIndex, chunk.round(), chunk.sentAtTicks(), nowTicks);
        }

        private static AppendResponse matched(
                Message request,
                long term,
                long matchIndex,
                long round,
                long sentAtTicks,
                long nowTicks) {
            return new AppendResponse(
                    request.to(),
                    request.from(),
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
     * A chunk of a snapshot, sent to a follower that lacks entries which the leader no longer has.
     *
     * @param totalBytes the size of the whole snapshot
     * @param checksum the checksum of the whole snapshot
     * @param offset the position of this chunk in the snapshot, in bytes
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

    /**
     * The response to {@link SnapshotChunk}, with the number of snapshot bytes that the follower
     * holds.
     */
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

    /** Sent by a leader that hands over leadership: the receiver campaigns at once. */
    record TimeoutNow(long from, long to, long term) implements Message {}
}
