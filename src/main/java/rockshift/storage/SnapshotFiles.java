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
 * The snapshots of a folder, a file each. The two newest are kept, so that one that is damaged can
 * be replaced by the one before and the entries since.
 */
final class SnapshotFiles {
    private static final String PREFIX = "snapshot-";
    private static final String DAMAGED_SUFFIX = ".damaged";
    private static final int GENERATIONS = 2;

    private final Disk disk;
    private final Consumer<String> logLines;

    /** The indexes of the snapshots that are kept, ascending. */
    private final List<Long> indexes = new ArrayList<>();

    SnapshotFiles(Disk disk, Consumer<String> logLines) {
        this.disk = disk;
        this.logLines = logLines;
    }

    /** The file of a snapshot. */
    static String name(long index) {
        return String.format(Locale.ROOT, PREFIX + "%016x", index);
    }

    /** Finds the newest sound snapshot, an empty one if there is none; sets damaged ones aside. */
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
                logLines.accept(
                        name + ": " + corrupt.reason() + "; set aside, the one before is used");
                disk.rename(name, name + DAMAGED_SUFFIX);
            }
        }
        return newest == null ? new Snapshot(0, 0, new Membership(List.of()), new byte[0]) : newest;
    }

    private static Snapshot parse(String name, byte[] bytes) throws CorruptRecordException {
        StoredRecord record = StoredRecord.readOnly(bytes, RecordKind.SNAPSHOT);
        if (record == null) {
            throw new CorruptRecordException(name, 0, "damaged");
        }
        try {
            return record.snapshot();
        } catch (IOException undecodable) {
            throw new CorruptRecordException(name, 0, undecodable);
        }
    }

    /** Whether a snapshot is older than one that is kept. */
    boolean isOutdated(Snapshot snapshot) {
        return !indexes.isEmpty() && snapshot.index() < indexes.get(indexes.size() - 1);
    }

    /** Makes a snapshot durable and drops what is older than the one before it. */
    void save(Snapshot snapshot) throws IOException {
        AtomicFile.replace(
                disk,
                name(snapshot.index()),
                RecordKind.SNAPSHOT,
                StateCodec.encodeSnapshot(snapshot));
        indexes.remove(snapshot.index());
        indexes.add(snapshot.index());
        while (indexes.size() > GENERATIONS) {
            disk.delete(name(indexes.remove(0)));
        }
    }

    /** The index of the oldest snapshot: entries up to it are needed no more. */
    long oldestIndex() {
        return indexes.get(0);
    }
}
