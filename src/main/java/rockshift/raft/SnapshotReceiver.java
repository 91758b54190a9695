package rockshift.raft;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/**
 * Assembles the chunks of a snapshot that the leader sends, and installs it once it is whole and
 * its checksum is right. Chunks may come late, twice or from another snapshot; a chunk that does
 * not continue what was received is answered with how much was, and the leader resumes from there.
 */
final class SnapshotReceiver {
    /** Bytes of the largest snapshot that is accepted: a quarter of the smallest heap. */
    static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;
    private final Consumer<String> logLines;

    /** The first chunk of the snapshot that is being received; null if there is none. */
    private Message.SnapshotChunk incomingSnapshot;

    private ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();

    SnapshotReceiver(
            ReplicatedLog log,
            CommitTracker commits,
            DurabilityTracker durability,
            Outbox outbox,
            Consumer<String> logLines) {
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
        this.logLines = logLines;
    }

    /** Takes a chunk from the leader of the current term. */
    void receive(Message.SnapshotChunk chunk, long nowTicks) {
        if (isCovered(chunk)) {
            commits.advanceTo(Math.min(chunk.snapshotIndex(), log.lastIndex()));
            long matchIndex = Math.min(chunk.snapshotIndex(), durability.durableIndex());
            acknowledgeSnapshot(chunk, matchIndex, nowTicks);
            return;
        }
        if (chunk.totalBytes() > MAX_SNAPSHOT_BYTES) {
            logLines.accept("a snapshot of " + chunk.totalBytes() + " bytes is too large, left");
            return;
        }
        store(chunk);
        if (receivedBytes.size() < chunk.totalBytes()) {
            outbox.send(received(chunk, receivedBytes.size(), nowTicks));
        } else {
            complete(chunk, nowTicks);
        }
    }

    /** Whether this member's log already has all that the snapshot includes. */
    private boolean isCovered(Message.SnapshotChunk chunk) {
        boolean inLog =
                chunk.snapshotIndex() <= log.lastIndex()
                        && log.term(chunk.snapshotIndex()) == chunk.snapshotTerm();
        return inLog || chunk.snapshotIndex() <= commits.commitIndex();
    }

    private void store(Message.SnapshotChunk chunk) {
        if (incomingSnapshot == null || !isOfSameSnapshot(incomingSnapshot, chunk)) {
            incomingSnapshot = chunk;
            receivedBytes = new ByteArrayOutputStream();
        }
        boolean continues = chunk.offset() == receivedBytes.size();
        if (continues && receivedBytes.size() + chunk.bytes().length <= chunk.totalBytes()) {
            receivedBytes.writeBytes(chunk.bytes());
        }
    }

    private static boolean isOfSameSnapshot(
            Message.SnapshotChunk one, Message.SnapshotChunk other) {
        return one.snapshotIndex() == other.snapshotIndex()
                && one.snapshotTerm() == other.snapshotTerm()
                && one.checksum() == other.checksum()
                && one.totalBytes() == other.totalBytes();
    }

    private void complete(Message.SnapshotChunk chunk, long nowTicks) {
        byte[] data = receivedBytes.toByteArray();
        incomingSnapshot = null;
        receivedBytes = new ByteArrayOutputStream();
        if (Checksum.of(data) != chunk.checksum()) {
            logLines.accept(
                    "snapshot of entry "
                            + chunk.snapshotIndex()
                            + " came corrupt from "
                            + log.membership().nameOf(chunk.from())
                            + ", asked anew");
            outbox.send(received(chunk, 0, nowTicks));
            return;
        }
        Snapshot snapshot =
                new Snapshot(chunk.snapshotIndex(), chunk.snapshotTerm(), chunk.membership(), data);
        log.installSnapshot(snapshot);
        commits.snapshotInstalled(snapshot.index());
        logLines.accept(
                "snapshot of entry "
                        + snapshot.index()
                        + " taken from "
                        + log.membership().nameOf(chunk.from()));
        acknowledgeSnapshot(chunk, chunk.snapshotIndex(), nowTicks);
    }

    private void acknowledgeSnapshot(Message.SnapshotChunk chunk, long matchIndex, long nowTicks) {
        outbox.sendWhenDurable(received(chunk, chunk.totalBytes(), nowTicks));
        outbox.sendWhenDurable(
                Message.AppendResponse.matched(chunk, durability.term(), matchIndex, nowTicks));
    }

    private Message received(Message.SnapshotChunk chunk, int bytes, long nowTicks) {
        return new Message.SnapshotChunkResponse(
                chunk.to(),
                chunk.from(),
                durability.term(),
                chunk.snapshotIndex(),
                bytes,
                chunk.round(),
                chunk.sentAtTicks(),
                nowTicks);
    }
}
