package rockshift.storage;

import java.io.IOException;
import java.util.List;
import rockshift.wire.StateCodec;

/** Whose folder this is: the file {@code identity} with format, member and cluster. */
final class IdentityFile {
    private static final String NAME = "identity";
    private static final int NUMBERS = 3;

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

    /** Reads the file; an empty folder becomes that of a new member. */
    void open(List<String> names, long newMemberId) throws IOException {
        if (!names.contains(NAME)) {
            if (!names.isEmpty()) {
                throw new UnrecoverableStorageException(
                        names.get(0), 0, "no identity beside it: a folder of something else");
            }
            memberId = newMemberId;
            write();
        }
        StoredRecord record = StoredRecord.readOnly(disk.read(NAME), RecordKind.IDENTITY);
        if (record == null) {
            throw new CorruptRecordException(NAME, 0, "damaged");
        }
        long[] numbers = parse(record);
        if (numbers[0] != DurableLog.FORMAT) {
            throw new UnrecoverableStorageException(
                    NAME, 0, "format " + numbers[0] + ", this is " + DurableLog.FORMAT);
        }
        memberId = numbers[1];
        clusterId = numbers[2];
    }

    private static long[] parse(StoredRecord record) throws CorruptRecordException {
        try {
            return record.numbers(NUMBERS);
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
