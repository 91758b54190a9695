package rockshift.raft;

import java.util.Arrays;

/**
 * The transfer of a snapshot to one follower. Each chunk is sent once the previous one was
 * acknowledged.
 */
final class SnapshotSender {
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long NEVER = Long.MIN_VALUE;

    private final Snapshot snapshot;
    private final int checksum;
    private int receivedBytes;
    private long chunkSentAtTicks = NEVER;

    SnapshotSender(Snapshot snapshot) {
        this.snapshot = snapshot;
        checksum = Checksum.of(snapshot.data());
    }

    long snapshotIndex() {
        return snapshot.index();
    }

    /** Returns whether no chunk was sent yet, or the last one or its response counts as lost. */
    boolean isResendDue(long nowTicks, long resendIntervalTicks) {
        return nowTicks >= chunkSentAtTicks + resendIntervalTicks;
    }

    /**
     * Records how many bytes of the snapshot the follower holds.
     *
     * @return whether the next chunk should be sent now
     */
    boolean recordReceived(int bytes) {
        boolean changed = bytes != receivedBytes;
        receivedBytes = Math.min(bytes, snapshot.data().length);
        return changed && receivedBytes < snapshot.data().length;
    }

    /** Returns the chunk after the bytes that the follower holds, and records it as sent now. */
    Message.SnapshotChunk nextChunk(
            long from, long to, long term, long round, long roundStartTicks, long nowTicks) {
        int end = Math.min(snapshot.data().length, receivedBytes + CHUNK_BYTES);
        chunkSentAtTicks = nowTicks;
        return new Message.SnapshotChunk(
                from,
                to,
                term,
                snapshot.index(),
                snapshot.term(),
                snapshot.membership(),
                snapshot.data().length,
                checksum,
                receivedBytes,
                Arrays.copyOfRange(snapshot.data(), receivedBytes, end),
                round,
                roundStartTicks);
    }
}
