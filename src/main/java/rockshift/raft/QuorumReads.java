package rockshift.raft;

import java.util.ArrayDeque;

/**
 * Reads of the leader's state, from the request until they are answered. A read gets its read index
 * (the commit index that it must see applied) once the leader is known to lead still: at once under
 * a lease, else when a quorum has answered a round of heartbeats begun after the request.
 */
final class QuorumReads {
    /** Reads that may wait; more are rejected. */
    private static final int MAX_PENDING_READS = 4_096;

    private record UnconfirmedRead(long token, long round) {}

    private record ReadIndexRequest(long token, long readIndex) {}

    private final SafetyRules rules;
    private final ArrayDeque<UnconfirmedRead> unconfirmed = new ArrayDeque<>();
    private final ArrayDeque<ReadIndexRequest> confirmed = new ArrayDeque<>();
    private final ArrayDeque<Long> rejected = new ArrayDeque<>();

    QuorumReads(SafetyRules rules) {
        this.rules = rules;
    }

    boolean isFull() {
        return unconfirmed.size() + confirmed.size() >= MAX_PENDING_READS;
    }

    void reject(long token) {
        rejected.add(token);
    }

    /** Takes a read that a lease confirms. */
    void addConfirmed(long token, long readIndex) {
        confirmed.add(new ReadIndexRequest(token, readIndex));
    }

    /** Takes a read that waits until a quorum has answered a round. */
    void awaitRound(long token, long round) {
        unconfirmed.add(new UnconfirmedRead(token, round));
    }

    /** Whether a read waits for a round that has not begun. */
    boolean needsRoundAfter(long round) {
        return !unconfirmed.isEmpty() && unconfirmed.getLast().round > round;
    }

    /** Gives the read index to reads whose round a quorum has answered. */
    void confirm(long roundOfQuorum, long commitIndex, boolean commitIndexKnown) {
        while (!unconfirmed.isEmpty()
                && rules.isReadConfirmed(roundOfQuorum, unconfirmed.getFirst().round)
                && commitIndexKnown) {
            confirmed.add(new ReadIndexRequest(unconfirmed.removeFirst().token, commitIndex));
        }
    }

    /** Rejects all reads that wait: this member leads no longer. */
    void rejectAll() {
        unconfirmed.forEach(read -> rejected.add(read.token));
        confirmed.forEach(read -> rejected.add(read.token));
        unconfirmed.clear();
        confirmed.clear();
    }

    /** Answers one read, rejected ones first; false if none can be answered now. */
    boolean answerNext(long appliedIndex, RaftOutput output) {
        if (!rejected.isEmpty()) {
            output.readRejected(rejected.removeFirst());
            return true;
        }
        if (!confirmed.isEmpty() && appliedIndex >= confirmed.getFirst().readIndex) {
            output.readReady(confirmed.removeFirst().token);
            return true;
        }
        return false;
    }
}
