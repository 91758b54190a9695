package rockshift.raft;

import java.util.ArrayDeque;
import java.util.List;

/** The leader's view of one follower: up to where its log matches, and what has been sent to it. */
final class FollowerProgress {
    /**
     * Maximum number of messages in flight to one follower: enough for a few round trips on a slow
     * link, and a bound on what is sent to a follower that is down.
     */
    private static final int MAX_INFLIGHT_MESSAGES = 32;

    /** How the leader sends entries to a follower. */
    enum Mode {
        /** One message at a time, until an index is found at which the logs match. */
        PROBE,
        /** Many messages in flight. */
        REPLICATE,
        /**
         * A snapshot in chunks, as the leader no longer has the entries that the follower lacks.
         */
        SNAPSHOT
    }

    private final long id;
    private final ClockDriftMonitor clock = new ClockDriftMonitor();
    private Mode mode = Mode.PROBE;
    private long matchIndex;
    private long nextIndex;

    /** The index of the last entry of each message in flight. */
    private final ArrayDeque<Long> inflight = new ArrayDeque<>();

    private boolean probeSent;
    private SnapshotSender snapshotSender;
    private long lastContactTicks;

    /** The newest heartbeat round that the follower has answered. */
    private long answeredRound;

    /** The start of the newest round that was answered, on the leader's clock. */
    private long answeredRoundStartTicks = Long.MIN_VALUE;

    FollowerProgress(long id, long nextIndex, long nowTicks) {
        this.id = id;
        this.nextIndex = nextIndex;
        lastContactTicks = nowTicks;
    }

    long id() {
        return id;
    }

    Mode mode() {
        return mode;
    }

    /** Returns the index up to which the follower's log is known to match and to be durable. */
    long matchIndex() {
        return matchIndex;
    }

    /** Returns the index of the next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    long lastContactTicks() {
        return lastContactTicks;
    }

    long answeredRound() {
        return answeredRound;
    }

    /** Returns the start of the newest round that the follower has answered. */
    long answeredRoundStartTicks() {
        return answeredRoundStartTicks;
    }

    /** Returns the proven drift between the follower's clock and the leader's, as a fraction. */
    double clockDriftRatio() {
        return clock.driftRatio();
    }

    /** Returns the snapshot transfer in progress, null except in {@link Mode#SNAPSHOT}. */
    SnapshotSender snapshotSender() {
        return snapshotSender;
    }

    /** Records a response in a heartbeat round. */
    void recordResponse(long nowTicks, long round, long sentAtTicks, long followerClockTicks) {
        lastContactTicks = nowTicks;
        answeredRound = Math.max(answeredRound, round);
        answeredRoundStartTicks = Math.max(answeredRoundStartTicks, sentAtTicks);
        clock.record(sentAtTicks, nowTicks, followerClockTicks);
    }

    /** Returns whether entries, or a probe, may be sent now. */
    boolean canSendEntries(long lastIndex) {
        return mode == Mode.REPLICATE
                ? nextIndex <= lastIndex && inflight.size() < MAX_INFLIGHT_MESSAGES
                : !probeSent;
    }

    /** Records that entries were sent, starting at the next index. */
    void recordSent(List<Entry> entries) {
        if (mode == Mode.PROBE) {
            probeSent = true;
        } else {
            nextIndex += entries.size();
            inflight.add(nextIndex - 1);
        }
    }

    /** Allows another probe, as a new round begins. */
    void allowProbe() {
        probeSent = false;
    }

    /** Records that the follower's log matches up to an index. */
    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        while (!inflight.isEmpty() && inflight.getFirst() <= matchIndex) {
            inflight.removeFirst();
        }
        boolean probeMatched = mode == Mode.PROBE && index >= nextIndex - 1;
        boolean snapshotInstalled =
                mode == Mode.SNAPSHOT && matchIndex >= snapshotSender.snapshotIndex();
        if (probeMatched || snapshotInstalled) {
            startReplication();
        }
    }

    /**
     * Returns whether a rejection must be handled. One for an index that has matched since, for an
     * earlier probe, or during a snapshot transfer is outdated.
     */
    boolean isRelevantRejection(long rejectedIndex) {
        return rejectedIndex > matchIndex
                && (mode != Mode.PROBE || rejectedIndex == nextIndex - 1)
                && mode != Mode.SNAPSHOT;
    }

    /**
     * Starts probing at an index, but not below the index up to which the logs are known to match.
     */
    void startProbe(long index) {
        mode = Mode.PROBE;
        probeSent = false;
        inflight.clear();
        snapshotSender = null;
        nextIndex = Math.max(matchIndex + 1, index);
    }

    private void startReplication() {
        mode = Mode.REPLICATE;
        probeSent = false;
        snapshotSender = null;
        nextIndex = Math.max(nextIndex, matchIndex + 1);
    }

    void startSnapshot(Snapshot snapshot) {
        mode = Mode.SNAPSHOT;
        inflight.clear();
        snapshotSender = new SnapshotSender(snapshot);
    }

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return "" + id + mode + matchIndex + ',' + nextIndex + inflight + probeSent;
    }
}
