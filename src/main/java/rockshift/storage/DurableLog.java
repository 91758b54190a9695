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
 * What a member must not forget, in one folder: who it is, its term and vote, its entries and its
 * snapshots. The format of the files is described in {@link rockshift.storage}.
 *
 * <p>A save is one write and one sync. After a crash, the torn tail of an unfinished save is cut;
 * damage to what was durable is refused with file and byte, as an acknowledged entry or a vote may
 * be lost with it.
 *
 * <p>One thread uses a log and its disk; who created the disk closes it, after the last call.
 */
public final class DurableLog {
    /** The format of all files, written into the identity and each segment. */
    static final int FORMAT = 1;

    /** What a folder holds: {@code entries} are those after the snapshot. */
    public record Recovered(
            long id,
            long cluster,
            TermAndVote termAndVote,
            Snapshot snapshot,
            List<Entry> entries) {}

    private final Disk disk;
    private final IdentityFile identity;
    private final SegmentFiles segments;
    private final SnapshotFiles snapshots;
    private TermAndVote durableTermAndVote = TermAndVote.NONE;

    /**
     * A log that is yet to be opened.
     *
     * @param logLines takes lines for the log for operators
     */
    public DurableLog(Disk disk, Consumer<String> logLines) {
        this.disk = disk;
        identity = new IdentityFile(disk);
        segments = new SegmentFiles(disk, logLines);
        snapshots = new SnapshotFiles(disk, logLines);
    }

    // ---- reading --------------------------------------------------------------------------------

    /** Reads the folder; one that is empty becomes that of a new member with the id given. */
    public Recovered open(long newMemberId) throws IOException {
        List<String> names = deleteTemporaryFiles();
        identity.open(names, newMemberId);
        LogRecovery recovery = new LogRecovery();
        segments.recover(names, identity.memberId(), recovery);
        durableTermAndVote = recovery.termAndVote();
        Snapshot snapshot = snapshots.recover(names);
        refuseGap(recovery, snapshot);
        List<Entry> entries = recovery.entries();
        if (!entries.isEmpty() && !recovery.joins(snapshot)) {
            // A crash came after a snapshot from the leader was saved and before the record that
            // voids the entries it replaces.
            entries.clear();
            save(durableTermAndVote, List.of(), snapshot);
        }
        entries.removeIf(entry -> entry.index() <= snapshot.index());
        return new Recovered(
                identity.memberId(), identity.clusterId(), durableTermAndVote, snapshot, entries);
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

    /** Entries must continue from the snapshot, and none may be missing in between. */
    private void refuseGap(LogRecovery recovery, Snapshot snapshot)
            throws UnrecoverableStorageException {
        long installed = recovery.installedSnapshotIndex();
        if (installed > snapshot.index()) {
            throw new UnrecoverableStorageException(
                    SnapshotFiles.name(installed),
                    0,
                    "missing or damaged, and nothing else stands for it");
        }
        List<Entry> entries = recovery.entries();
        if (!entries.isEmpty() && entries.get(0).index() > snapshot.index() + 1) {
            throw new UnrecoverableStorageException(
                    segments.firstName(),
                    SegmentHeader.BYTES,
                    "begins with entry "
                            + entries.get(0).index()
                            + ", the snapshot ends with "
                            + snapshot.index());
        }
    }

    // ---- writing --------------------------------------------------------------------------------

    /**
     * Becomes part of a cluster: as one of its founders, or (without members) as one that will be
     * brought up to date.
     */
    public Snapshot joinCluster(long cluster, List<Member> founders) throws IOException {
        Snapshot first = new Snapshot(0, 0, new Membership(founders), new byte[0]);
        if (!founders.isEmpty()) {
            saveSnapshot(first);
        }
        identity.setCluster(cluster);
        return first;
    }

    /**
     * Makes one save durable, or fails and leaves what was durable as it was: the same save can be
     * tried again.
     *
     * @param snapshot replaces all entries that are stored; null if there is none
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

    /** Saves a snapshot, and deletes the snapshots and segments that are no longer needed. */
    public void saveSnapshot(Snapshot snapshot) throws IOException {
        if (!snapshots.isOutdated(snapshot)) {
            snapshots.save(snapshot);
            segments.deleteUpTo(snapshots.oldestIndex());
        }
    }

    /** How many segments the log has. */
    public int segmentCount() {
        return segments.count();
    }
}
