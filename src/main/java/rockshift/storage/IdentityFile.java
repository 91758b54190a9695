package rockshift.storage;

import java.io.IOException;
import java.util.List;
import rockshift.wire.StateCodec;

/**
 * The file {@code identity}: the format version, and the member and the cluster that the folder
 * belongs to.
 */
final class IdentityFile {
    private static final String NAME = "identity";
    private static final int FIELD_COUNT = 3;

    private final Disk disk;
    private long memberId;
    private long clusterId;

    IdentityFile(Disk disk) {
        this.disk = disk;
    }

    long memberId() {
        return memberId;
    }

    long clusterId() {
        return clusterId;
    }

    /** Reads the file. An empty folder is initialized for a new member. */
    void open(List<String> names, long newMemberId) throws IOException {
        if (!names.contains(NAME)) {
            if (!names.isEmpty()) {
                throw new UnrecoverableStorageException(
                        names.get(0),
                        0,
                        "found without an identity file: not the folder of a member");
            }
            memberId = newMemberId;
            write();
        }
        StoredRecord record = StoredRecord.readSingle(disk.read(NAME), RecordKind.IDENTITY);
        if (record == null) {
            throw new CorruptRecordException(
                    NAME, 0, "damaged: not a single valid identity record");
        }
        long[] numbers = parse(record);
        if (numbers[0] != DurableLog.FORMAT) {
            throw new UnrecoverableStorageException(
                    NAME, 0, "expected format " + DurableLog.FORMAT + ", found " + numbers[0]);
        }
        memberId = numbers[1];
        clusterId = numbers[2];
    }

    private static long[] parse(StoredRecord record) throws CorruptRecordException {
        try {
            return record.numbers(FIELD_COUNT);
        } catch (IOException undecodable) {
            throw new CorruptRecordException(NAME, 0, undecodable);
        }
    }

    void setCluster(long newClusterId) throws IOException {
        clusterId = newClusterId;
        write();
    }

    private void write() throws IOException {
        AtomicFile.replace(
                disk,
                NAME,
                RecordKind.IDENTITY,
                StateCodec.encodeNumbers(DurableLog.FORMAT, memberId, clusterId));
    }
}
