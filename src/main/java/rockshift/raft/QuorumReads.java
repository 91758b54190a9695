package rockshift.raft;

import java.util.ArrayDeque;

/**
 * Linearizable reads of the leader's state, from the request until they are answered. A read is
 * assigned its read index (the commit index that must be applied before it is answered) once the
 * leader has confirmed that it still leads: at once under a lease, otherwise when a quorum has
 * answered a heartbeat round that was started after the request.
 */
final class QuorumReads {
    /** Maximum number of pending reads; more are rejected. */
    private static final int MAX_PENDING_READS = 4_096;

    private record UnconfirmedRead(long token, long round) {}

    private record ConfirmedRead(long token, long readIndex) {}

    private final SafetyRules rules;
    private final ArrayDeque<UnconfirmedRead> unconfirmed = new ArrayDeque<>();
    private final ArrayDeque<ConfirmedRead> confirmed = new ArrayDeque<>();
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

    /** Adds a read that is confirmed by the lease. */
    void addConfirmed(long token, long readIndex) {
        confirmed.add(new ConfirmedRead(token, readIndex));
    }

    /** Adds a read that waits until a quorum has answered a round. */
    void awaitRound(long token, long round) {
        unconfirmed.add(new UnconfirmedRead(token, round));
    }

    /** Returns whether a read waits for a round that has not started. */
    boolean needsRoundAfter(long round) {
        return !unconfirmed.isEmpty() && unconfirmed.getLast().round > round;
    }

    /** Assigns the read index to reads whose round a quorum has answered. */
    void confirm(long roundOfQuorum, long commitIndex, boolean commitIndexKnown) {
        while (!unconfirmed.isEmpty()
                && rules.isReadConfirmed(roundOfQuorum, unconfirmed.getFirst().round)
                && commitIndexKnown) {
            confirmed.add(new ConfirmedRead(unconfirmed.removeFirst().token, commitIndex));
        }
    }

    /** Rejects all pending reads, as this member is no longer the leader. */
    void rejectAll() {
        unconfirmed.forEach(read -> rejected.add(read.token));
        confirmed.forEach(read -> rejected.add(read.token));
        unconfirmed.clear();
        confirmed.clear();
    }

    /**
     * Answers one read, rejected ones first.
     *
     * @return false if none can be answered now
     */
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
