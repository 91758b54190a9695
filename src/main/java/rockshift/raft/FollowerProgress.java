package rockshift.raft;

import java.util.ArrayDeque;
import java.util.List;

/** What a leader knows of one other member's log, and how far it has sent to it. */
final class FollowerProgress {
    /**
     * Messages in flight to one follower: a few round trips of a slow link, and a bound on what is
     * sent to one that is dead.
     */
    private static final int MAX_INFLIGHT_MESSAGES = 32;

    /** How a leader sends to a follower. */
    enum Mode {
        /** One message at a time, until the logs are known to match somewhere. */
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

    /** The last index of each message in flight. */
    private final ArrayDeque<Long> inflight = new ArrayDeque<>();

    private boolean probeSent;
    private SnapshotSender snapshotSender;
    private long lastContactTicks;

    /** The newest round that it answered, and when the newest answered round was begun. */
    private long answeredRound;

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

    /** Up to here its log is known to be the leader's, and durable. */
    long matchIndex() {
        return matchIndex;
    }

    /** The next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    long lastContactTicks() {
        return lastContactTicks;
    }

    long answeredRound() {
        return answeredRound;
    }

    /** When the newest round that it answered was begun. */
    long answeredRoundStartTicks() {
        return answeredRoundStartTicks;
    }

    /** The share by which its clock is proven to run apart from the leader's. */
    double clockDriftRatio() {
        return clock.driftRatio();
    }

    /** The snapshot that is being sent; null but in {@link Mode#SNAPSHOT}. */
    SnapshotSender snapshotSender() {
        return snapshotSender;
    }

    /** Records an answer to a round. */
    void recordResponse(long nowTicks, long round, long sentAtTicks, long followerClockTicks) {
        lastContactTicks = nowTicks;
        answeredRound = Math.max(answeredRound, round);
        answeredRoundStartTicks = Math.max(answeredRoundStartTicks, sentAtTicks);
        clock.record(sentAtTicks, nowTicks, followerClockTicks);
    }

    /** Whether entries, or a probe, may be sent now. */
    boolean canSendEntries(long lastIndex) {
        return mode == Mode.REPLICATE
                ? nextIndex <= lastIndex && inflight.size() < MAX_INFLIGHT_MESSAGES
                : !probeSent;
    }

    /** Entries were sent from the next index on. */
    void recordSent(List<Entry> entries) {
        if (mode == Mode.PROBE) {
            probeSent = true;
        } else {
            nextIndex += entries.size();
            inflight.add(nextIndex - 1);
        }
    }

    /** A new round begins, in which a probe may be sent again. */
    void allowProbe() {
        probeSent = false;
    }

    /** The follower's log matches up to an index. */
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
     * Whether a rejection is news: it does not answer what has been answered since, or to another
     * probe than the current one.
     */
    boolean isRelevantRejection(long rejectedIndex) {
        return rejectedIndex > matchIndex
                && (mode != Mode.PROBE || rejectedIndex == nextIndex - 1)
                && mode != Mode.SNAPSHOT;
    }

    /** Probes from an index on, but not below what is known to match. */
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

    /** The state that the next step depends on, for {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return "" + id + mode + matchIndex + ',' + nextIndex + inflight + probeSent;
    }
}
