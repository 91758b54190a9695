package rockshift.storage;

import java.io.IOException;
import java.util.List;
import rockshift.wire.StateCodec;

/**
 * The file {@code known-cluster}: a cluster that is known to exist, so that a restarted member does
 * not found or lead another one before it hears of it again. It does not exist while none is known.
 */
final class KnownClusterFile {
    private static final String NAME = "known-cluster";

    private final Disk disk;
    private long clusterId;

    KnownClusterFile(Disk disk) {
        this.disk = disk;
    }

    /** Returns the id of the known cluster, or 0. */
    long clusterId() {
        return clusterId;
    }

    /** Reads the file if it exists. */
    void open(List<String> names) throws IOException {
        if (!names.contains(NAME)) {
            return;
        }
        StoredRecord record = StoredRecord.readSingle(disk.read(NAME), RecordKind.KNOWN_CLUSTER);
        if (record == null) {
            throw new CorruptRecordException(
                    NAME, 0, "damaged: not a single valid known-cluster record");
        }
        try {
            clusterId = record.numbers(1)[0];
        } catch (IOException undecodable) {
            throw new CorruptRecordException(NAME, 0, undecodable);
        }
    }

    /** Replaces the known cluster, durably. */
    void setCluster(long newClusterId) throws IOException {
        AtomicFile.replace(
                disk, NAME, RecordKind.KNOWN_CLUSTER, StateCodec.encodeNumbers(newClusterId));
        clusterId = newClusterId;
    }
}
