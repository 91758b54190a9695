package rockshift.raft;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

/**
 * Assembles the chunks of a snapshot sent by the leader, and installs it once it is complete and
 * its checksum is correct. Chunks may arrive late, twice or from another snapshot. The response to
 * a chunk that does not continue the received bytes contains their number, and the leader resumes
 * from there.
 */
final class SnapshotReceiver {
    /** Maximum size of an accepted snapshot: a quarter of the smallest heap. */
    static final int MAX_SNAPSHOT_BYTES = 16 << 20;

    private final ReplicatedLog log;
    private final CommitTracker commits;
    private final DurabilityTracker durability;
    private final Outbox outbox;
    private final Consumer<String> operatorLog;

    /** The first chunk of the snapshot being received, null if there is none. */
    private Message.SnapshotChunk firstChunk;

    private ByteArrayOutputStream receivedBytes = new ByteArrayOutputStream();

    SnapshotReceiver(
            ReplicatedLog log,
            CommitTracker commits,
            DurabilityTracker durability,
            Outbox outbox,
            Consumer<String> operatorLog) {
        this.log = log;
        this.commits = commits;
        this.durability = durability;
        this.outbox = outbox;
        this.operatorLog = operatorLog;
    }

    /** Handles a chunk from the leader of the current term. */
    void receive(Message.SnapshotChunk chunk, long nowTicks) {
        if (isCovered(chunk)) {
            commits.advanceTo(Math.min(chunk.snapshotIndex(), log.lastIndex()));
            long matchIndex = Math.min(chunk.snapshotIndex(), durability.durableIndex());
            acknowledgeSnapshot(chunk, matchIndex, nowTicks);
            return;
        }
        if (chunk.totalBytes() > MAX_SNAPSHOT_BYTES) {
            operatorLog.accept(
                    "snapshot too large: ignoring it index="
                            + chunk.snapshotIndex()
                            + " bytes="
                            + chunk.totalBytes()
                            + " limit="
                            + MAX_SNAPSHOT_BYTES
                            + " leader="
                            + log.membership().nameOf(chunk.from()));
            return;
        }
        store(chunk);
        if (receivedBytes.size() < chunk.totalBytes()) {
            outbox.send(chunkResponse(chunk, receivedBytes.size(), nowTicks));
        } else {
            complete(chunk, nowTicks);
        }
    }

    /** Returns whether this member's log already contains everything that the snapshot includes. */
    private boolean isCovered(Message.SnapshotChunk chunk) {
        boolean inLog =
                chunk.snapshotIndex() <= log.lastIndex()
                        && log.term(chunk.snapshotIndex()) == chunk.snapshotTerm();
        return inLog || chunk.snapshotIndex() <= commits.commitIndex();
    }

    private void store(Message.SnapshotChunk chunk) {
        if (firstChunk == null || !isOfSameSnapshot(firstChunk, chunk)) {
            firstChunk = chunk;
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
        firstChunk = null;
        receivedBytes = new ByteArrayOutputStream();
        if (Checksum.of(data) != chunk.checksum()) {
            operatorLog.accept(
                    "snapshot checksum mismatch: requesting it again index="
                            + chunk.snapshotIndex()
                            + " leader="
                            + log.membership().nameOf(chunk.from()));
            outbox.send(chunkResponse(chunk, 0, nowTicks));
            return;
        }
        Snapshot snapshot =
                new Snapshot(chunk.snapshotIndex(), chunk.snapshotTerm(), chunk.membership(), data);
        log.installSnapshot(snapshot);
        commits.snapshotInstalled(snapshot.index());
        operatorLog.accept(
                "snapshot received: replacing the log index="
                        + snapshot.index()
                        + " term="
                        + snapshot.term()
                        + " leader="
                        + log.membership().nameOf(chunk.from()));
        acknowledgeSnapshot(chunk, chunk.snapshotIndex(), nowTicks);
    }

    private void acknowledgeSnapshot(Message.SnapshotChunk chunk, long matchIndex, long nowTicks) {
        outbox.sendWhenDurable(chunkResponse(chunk, chunk.totalBytes(), nowTicks));
        outbox.sendWhenDurable(
                Message.AppendResponse.matched(chunk, durability.term(), matchIndex, nowTicks));
    }

    private Message chunkResponse(Message.SnapshotChunk chunk, int bytes, long nowTicks) {
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
