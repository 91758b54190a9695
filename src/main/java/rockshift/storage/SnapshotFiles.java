package rockshift.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import rockshift.raft.Membership;
import rockshift.raft.Snapshot;
import rockshift.wire.StateCodec;

/**
 * The snapshot files of a folder, one per snapshot. The two newest are kept, so that a damaged one
 * can be replaced by the previous one and the entries since.
 */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final String DAMAGED_SUFFIX = ".damaged";
    private static final int MAX_SNAPSHOTS = 2;

    private final Disk disk;
    private final Consumer<String> operatorLog;

    /** The indexes of the retained snapshots, ascending. */
    private final List<Long> indexes = new ArrayList<>();

    SnapshotFiles(Disk disk, Consumer<String> operatorLog) {
        this.disk = disk;
        this.operatorLog = operatorLog;
    }

    /** Returns the file name of a snapshot. */
    static String fileName(long index) {
        return String.format(Locale.ROOT, PREFIX + "%016x", index);
    }

    /**
     * Returns the newest valid snapshot, or an empty one if there is none. Damaged ones are
     * renamed, so that they are not read again.
     */
    Snapshot recover(List<String> names) throws IOException {
        Snapshot newest = null;
        for (int i = names.size() - 1; i >= 0; i--) {
            String name = names.get(i);
            if (!name.startsWith(PREFIX) || name.contains(".")) {
                continue;
            }
            byte[] bytes = disk.read(name);
            try {
                Snapshot snapshot = parse(name, bytes);
                newest = newest == null ? snapshot : newest;
                indexes.add(0, snapshot.index());
            } catch (CorruptRecordException corrupt) {
                operatorLog.accept(
                        "snapshot damaged: setting it aside and using the previous one file="
                                + name
                                + " cause=\""
                                + corrupt.reason()
                                + "\"");
                disk.rename(name, name + DAMAGED_SUFFIX);
            }
        }
        return newest == null ? new Snapshot(0, 0, new Membership(List.of()), new byte[0]) : newest;
    }

    private static Snapshot parse(String name, byte[] bytes) throws CorruptRecordException {
        StoredRecord record = StoredRecord.readSingle(bytes, RecordKind.SNAPSHOT);
        if (record == null) {
            throw new CorruptRecordException(
                    name, 0, "damaged: not a single valid snapshot record");
        }
        try {
            return record.snapshot();
        } catch (IOException undecodable) {
            throw new CorruptRecordException(name, 0, undecodable);
        }
    }

    /** Returns whether a snapshot is older than the newest one that is kept. */
    boolean isOutdated(Snapshot snapshot) {
        return !indexes.isEmpty() && snapshot.index() < indexes.get(indexes.size() - 1);
    }

    /** Makes a snapshot durable and deletes those older than the previous one. */
    void save(Snapshot snapshot) throws IOException {
        AtomicFile.replace(
                disk,
                fileName(snapshot.index()),
                RecordKind.SNAPSHOT,
                StateCodec.encodeSnapshot(snapshot));
        indexes.remove(snapshot.index());
        indexes.add(snapshot.index());
        while (indexes.size() > MAX_SNAPSHOTS) {
            disk.delete(fileName(indexes.remove(0)));
        }
    }

    /** Returns the index of the oldest snapshot. Entries up to it are no longer needed. */
    long oldestIndex() {
        return indexes.get(0);
    }
}
