package rockshift.raft;

import java.util.ArrayDeque;

/** What a leader knows of one other member, and how it sends to it. */
final class FollowerProgress {
    /** One message at a time until the logs are known to meet; many in flight; or a snapshot. */
    enum Way {
        PROBE,
        REPLICATE,
        SNAPSHOT
    }

    final long id;
    Way way = Way.PROBE;
    long match;
    long next;

    /** Last index of each message in flight. */
    final ArrayDeque<Long> flight = new ArrayDeque<>();

    boolean probing;
    long heardAt;

    /** The newest round that it answered, and when that was begun. */
    long round;

    long sentAt = Long.MIN_VALUE;

    /**
     * While a snapshot is sent: which one and its checksum, up to where it is held, when a piece
     * was sent last.
     */
    Snapshot sending;

    int checksum;
    int offset;
    long pieceAt;
    final ClockDriftMonitor clock = new ClockDriftMonitor();

    FollowerProgress(long id, long next, long now) {
        this.id = id;
        this.next = next;
        heardAt = now;
    }

    void answered(long now, long round, long sentAt, long clockThere) {
        heardAt = now;
        this.round = Math.max(this.round, round);
        this.sentAt = Math.max(this.sentAt, sentAt);
        clock.record(sentAt, now, clockThere);
    }

    void probe(long from) {
        way = Way.PROBE;
        probing = false;
        flight.clear();
        sending = null;
        next = Math.max(match + 1, from);
    }

    void replicate() {
        way = Way.REPLICATE;
        probing = false;
        sending = null;
        next = Math.max(next, match + 1);
    }

    void snapshot(Snapshot snapshot, int sum) {
        way = Way.SNAPSHOT;
        flight.clear();
        sending = snapshot;
        checksum = sum;
        offset = 0;
        pieceAt = Long.MIN_VALUE;
    }
}
