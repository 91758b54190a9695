package rockshift.storage;

import java.nio.ByteBuffer;
import rockshift.raft.Checksum;

/**
 * The header of a segment: {@code magic u32, format u32, segment number u64, member u64, CRC32C
 * u32}. The checksum covers the fields before it.
 */
final class SegmentHeader {
    static final int BYTES = 28;

    /** "RSLG". */
    private static final int MAGIC = 0x52534c47;

    private static final int FORMAT_OFFSET = 4;
    private static final int NUMBER_OFFSET = 8;
    private static final int MEMBER_OFFSET = 16;
    private static final int CHECKSUM_OFFSET = 24;

    private SegmentHeader() {}

    static byte[] encode(long number, long memberId) {
        ByteBuffer header = ByteBuffer.allocate(BYTES);
        header.putInt(MAGIC).putInt(DurableLog.FORMAT).putLong(number).putLong(memberId);
        header.putInt(Checksum.of(header.array(), 0, CHECKSUM_OFFSET));
        return header.array();
    }

    /** Checks that the header is that of a segment with this format, number and member. */
    static void check(String file, byte[] bytes, long number, long memberId)
            throws UnrecoverableStorageException {
        ByteBuffer header = ByteBuffer.wrap(bytes);
        boolean valid =
                bytes.length >= BYTES
                        && header.getInt(0) == MAGIC
                        && header.getLong(NUMBER_OFFSET) == number
                        && header.getInt(CHECKSUM_OFFSET) == Checksum.of(bytes, 0, CHECKSUM_OFFSET);
        if (!valid) {
            throw new CorruptRecordException(
                    file, 0, "damaged header: expected that of segment " + number);
        }
        int format = header.getInt(FORMAT_OFFSET);
        if (format != DurableLog.FORMAT) {
            throw new UnrecoverableStorageException(
                    file,
                    FORMAT_OFFSET,
                    "expected format " + DurableLog.FORMAT + ", found " + format);
        }
        if (header.getLong(MEMBER_OFFSET) != memberId) {
            throw new UnrecoverableStorageException(
                    file,
                    MEMBER_OFFSET,
                    "expected a segment of member "
                            + Long.toHexString(memberId)
                            + ", found one of member "
                            + Long.toHexString(header.getLong(MEMBER_OFFSET)));
        }
    }
}
