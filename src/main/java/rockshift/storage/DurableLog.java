package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rockshift.raft.Entry;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.raft.Snapshot;
import rockshift.raft.TermAndVote;
import rockshift.wire.StateCodec;

/**
 * The persistent state of a member, in one folder: its identity, its term and vote, its log entries
 * and its snapshots. The file formats are described in {@link rockshift.storage}.
 *
 * <p>A save is one write and one sync. After a crash, the torn tail of an unfinished save is
 * truncated. Damage to durable data is rejected with the file and the byte offset, as an
 * acknowledged entry or a vote may have been lost.
 *
 * <p>A log and its disk must be used by a single thread. The creator of the disk closes it, after
 * the last call.
 */
public final class DurableLog {
    /** The format version of all files, written to the identity file and to each segment. */
    static final int FORMAT = 1;

    /**
     * The state recovered from a folder.
     *
     * @param clusterId the cluster that the member is part of, or 0
     * @param knownClusterId the cluster last recorded as known, or 0
     * @param entries those after the snapshot
     */
    public record Recovered(
            long memberId,
            long clusterId,
            long knownClusterId,
            TermAndVote termAndVote,
            Snapshot snapshot,
            List<Entry> entries) {}

    private final Disk disk;
    private final IdentityFile identity;
    private final KnownClusterFile knownCluster;
    private final SegmentFiles segments;
    private final SnapshotFiles snapshots;
    private TermAndVote durableTermAndVote = TermAndVote.NONE;

    /**
     * Creates a log, which must be opened before any other call.
     *
     * @param operatorLog receives log lines for operators
     */
    public DurableLog(Disk disk, Consumer<String> operatorLog) {
        this.disk = disk;
        identity = new IdentityFile(disk);
        knownCluster = new KnownClusterFile(disk);
        segments = new SegmentFiles(disk, operatorLog);
        snapshots = new SnapshotFiles(disk, operatorLog);
    }

    /**
     * Recovers the state from the folder. An empty folder is initialized for a new member with the
     * given id.
     *
     * @throws UnrecoverableStorageException if the folder is damaged or is not that of a member
     */
    public Recovered open(long newMemberId) throws IOException {
        List<String> names = deleteTemporaryFiles();
        identity.open(names, newMemberId);
        knownCluster.open(names);
        LogRecovery recovery = new LogRecovery();
        segments.recover(names, identity.memberId(), recovery);
        durableTermAndVote = recovery.termAndVote();
        Snapshot snapshot = snapshots.recover(names);
        checkNoGap(recovery, snapshot);
        List<Entry> entries = recovery.entries();
        if (!entries.isEmpty() && !recovery.isConsistentWith(snapshot)) {
            // A crash occurred after a snapshot from the leader was saved, but before the record
            // was written that discards the entries replaced by it.
            entries.clear();
            save(durableTermAndVote, List.of(), snapshot);
        }
        entries.removeIf(entry -> entry.index() <= snapshot.index());
        return new Recovered(
                identity.memberId(),
                identity.clusterId(),
                knownCluster.clusterId(),
                durableTermAndVote,
                snapshot,
                entries);
    }

    private List<String> deleteTemporaryFiles() throws IOException {
        List<String> names = new ArrayList<>();
        for (String name : disk.list()) {
            if (AtomicFile.isTemporary(name)) {
                disk.delete(name);
            } else {
                names.add(name);
            }
        }
        return names;
    }

    /** Checks that the entries continue from the snapshot, with none missing in between. */
    private void checkNoGap(LogRecovery recovery, Snapshot snapshot)
            throws UnrecoverableStorageException {
        long installed = recovery.installedSnapshotIndex();
        if (installed > snapshot.index()) {
            throw new UnrecoverableStorageException(
                    SnapshotFiles.fileName(installed),
                    0,
                    "missing or damaged: the entries that it replaced are stored nowhere else");
        }
        List<Entry> entries = recovery.entries();
        if (!entries.isEmpty() && entries.get(0).index() > snapshot.index() + 1) {
            throw new UnrecoverableStorageException(
                    segments.oldestFileName(),
                    SegmentHeader.BYTES,
                    "entries missing: the snapshot ends with entry "
                            + snapshot.index()
                            + ", the log begins with entry "
                            + entries.get(0).index());
        }
    }

    /**
     * Makes this member part of a cluster: as one of its founders or, if there is no founder, as a
     * member that will be brought up to date.
     *
     * @return the initial snapshot
     */
    public Snapshot joinCluster(long cluster, List<Member> founders) throws IOException {
        Snapshot initial = new Snapshot(0, 0, new Membership(founders), new byte[0]);
        if (!founders.isEmpty()) {
            saveSnapshot(initial);
        }
        if (knownCluster.clusterId() != 0) {
            recordKnownCluster(cluster);
        }
        identity.setCluster(cluster);
        return initial;
    }

    /** Records durably that a cluster exists. If this fails, it can be retried. */
    public void recordKnownCluster(long cluster) throws IOException {
        if (knownCluster.clusterId() != cluster) {
            knownCluster.setCluster(cluster);
        }
    }

    /**
     * Writes the state durably. If this fails, previously durable data is unchanged, and the same
     * save can be retried.
     *
     * @param snapshot replaces all stored entries; null if there is none
     */
    public void save(TermAndVote termAndVote, List<Entry> entries, Snapshot snapshot)
            throws IOException {
        segments.prepareWrite(durableTermAndVote);
        if (snapshot != null) {
            saveSnapshot(snapshot);
        }
        ByteArrayOutputStream batch = segments.startBatch();
        if (!termAndVote.equals(durableTermAndVote)) {
            StoredRecord.write(
                    batch, RecordKind.TERM_AND_VOTE, StateCodec.encodeTermAndVote(termAndVote));
        }
        long highestIndex = 0;
        if (snapshot != null) {
            StoredRecord.write(
                    batch,
                    RecordKind.SNAPSHOT_INSTALLED,
                    StateCodec.encodeNumbers(snapshot.index(), snapshot.term()));
            highestIndex = snapshot.index();
        }
        for (Entry entry : entries) {
            StoredRecord.write(batch, RecordKind.ENTRY, StateCodec.encodeEntry(entry));
            highestIndex = Math.max(highestIndex, entry.index());
        }
        segments.write(batch, highestIndex);
        durableTermAndVote = termAndVote;
    }

    /** Saves a snapshot, and deletes snapshots and segments that are no longer needed. */
    public void saveSnapshot(Snapshot snapshot) throws IOException {
        if (!snapshots.isOutdated(snapshot)) {
            snapshots.save(snapshot);
            segments.deleteUpTo(snapshots.oldestIndex());
        }
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return segments.count();
    }
}
