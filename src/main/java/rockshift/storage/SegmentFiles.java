package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Consumer;
import rockshift.raft.TermAndVote;
import rockshift.wire.StateCodec;

/** The segment files of a log. They are numbered without gaps; only the last one is written to. */
final class SegmentFiles {
    /**
     * Size above which a new segment is started: small enough to read a segment into memory, large
     * enough that new ones are rare.
     */
    private static final int MAX_SEGMENT_BYTES = 4 << 20;

    private static final String PREFIX = "log-";
    private static final int HEX_RADIX = 16;

    private final Disk disk;
    private final Consumer<String> operatorLog;
    private long memberId;

    /** The highest entry index in each segment, by segment number. */
    private final TreeMap<Long, Long> highestIndexes = new TreeMap<>();

    /** Number of durable bytes in the last segment. */
    private int durableBytes;

    /** Whether the last write failed, so that the last segment may exceed the durable bytes. */
    private boolean hasTornTail;

    SegmentFiles(Disk disk, Consumer<String> operatorLog) {
        this.disk = disk;
        this.operatorLog = operatorLog;
    }

    private static String fileName(long number) {
        return String.format(Locale.ROOT, PREFIX + "%016x", number);
    }

    int count() {
        return highestIndexes.size();
    }

    /** Returns the file name of the oldest segment. */
    String oldestFileName() {
        return fileName(highestIndexes.firstKey());
    }

    /**
     * Reads all segments in order. Truncates the torn tail of the last one and rejects any other
     * damage.
     */
    void recover(List<String> names, long member, LogRecovery recovery) throws IOException {
        memberId = member;
        for (String name : names) {
            if (name.startsWith(PREFIX)) {
                String digits = name.substring(PREFIX.length());
                highestIndexes.put(Long.parseUnsignedLong(digits, HEX_RADIX), 0L);
            }
        }
        long expected = highestIndexes.isEmpty() ? 0 : highestIndexes.firstKey();
        for (long number : List.copyOf(highestIndexes.keySet())) {
            if (number != expected) {
                throw new UnrecoverableStorageException(
                        fileName(number),
                        0,
                        "expected segment " + expected + " before it, which is missing");
            }
            expected++;
            recoverSegment(number, recovery);
        }
        if (highestIndexes.isEmpty()) {
            startSegment(0, recovery.termAndVote());
        }
    }

    private void recoverSegment(long number, LogRecovery recovery) throws IOException {
        boolean isLast = number == highestIndexes.lastKey();
        byte[] bytes = disk.read(fileName(number));
        if (isLast && bytes.length < SegmentHeader.BYTES) {
            // A new segment is synced before it is renamed, so a crash alone does not leave a file
            // as short as this. One exists only if the disk made the name durable before the
            // content.
            disk.delete(fileName(number));
            highestIndexes.remove(number);
        } else {
            durableBytes = replaySegment(number, bytes, isLast, recovery);
        }
    }

    /**
     * Applies the records of a segment.
     *
     * @return the offset at which its valid part ends
     */
    private int replaySegment(long number, byte[] bytes, boolean isLast, LogRecovery recovery)
            throws IOException {
        String name = fileName(number);
        SegmentHeader.check(name, bytes, number, memberId);
        int offset = SegmentHeader.BYTES;
        while (offset < bytes.length) {
            StoredRecord record = StoredRecord.read(bytes, offset);
            if (record == null) {
                truncateTornTailOrReject(name, bytes, offset, isLast);
                return offset;
            }
            long index = recovery.replay(name, record);
            highestIndexes.merge(number, index, Math::max);
            offset = record.end();
        }
        return offset;
    }

    /**
     * Truncates the torn tail of an unfinished save; rejects the file if acknowledged records may
     * be lost.
     */
    private void truncateTornTailOrReject(String name, byte[] bytes, int offset, boolean isLast)
            throws IOException {
        if (!isLast) {
            throw new CorruptRecordException(
                    name, offset, "damaged, although another segment follows: not a torn tail");
        }
        rejectIfDurable(name, bytes, offset);
        operatorLog.accept(
                "truncating the torn tail of an unfinished save file="
                        + name
                        + " offset="
                        + offset
                        + " bytes="
                        + (bytes.length - offset));
        disk.truncate(name, offset);
    }

    /**
     * Distinguishes damage from a torn tail. A later batch records how many bytes were durable
     * before it; if they include this offset, an acknowledged write is lost.
     */
    private static void rejectIfDurable(String name, byte[] bytes, int offset) throws IOException {
        for (int later = offset + 1; later + StoredRecord.OVERHEAD_BYTES < bytes.length; later++) {
            StoredRecord batch = StoredRecord.read(bytes, later, RecordKind.BATCH);
            if (batch != null && batch.numbers(1)[0] > offset) {
                throw new CorruptRecordException(
                        name,
                        offset,
                        "damaged, although it was durable before byte " + later + " was written");
            }
        }
    }

    private void startSegment(long number, TermAndVote termAndVote) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(SegmentHeader.encode(number, memberId));
        // The term and vote must not be lost when older segments are deleted.
        StoredRecord.write(
                bytes, RecordKind.TERM_AND_VOTE, StateCodec.encodeTermAndVote(termAndVote));
        AtomicFile.replace(disk, fileName(number), bytes.toByteArray());
        highestIndexes.put(number, 0L);
        durableBytes = bytes.size();
    }

    /**
     * Prepares the last segment for a write: truncates a torn tail, and starts a new segment if the
     * last one is full.
     */
    void prepareWrite(TermAndVote durableTermAndVote) throws IOException {
        long last = highestIndexes.lastKey();
        if (hasTornTail) {
            disk.truncate(fileName(last), durableBytes);
            hasTornTail = false;
        }
        if (durableBytes > MAX_SEGMENT_BYTES) {
            startSegment(last + 1, durableTermAndVote);
        }
    }

    /** Returns a buffer that begins with the first record of every batch. */
    ByteArrayOutputStream startBatch() throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        StoredRecord.write(batch, RecordKind.BATCH, StateCodec.encodeNumbers(durableBytes));
        return batch;
    }

    /** Makes a batch durable. If this fails, previously durable data is unchanged. */
    void write(ByteArrayOutputStream batch, long highestIndex) throws IOException {
        long last = highestIndexes.lastKey();
        String name = fileName(last);
        hasTornTail = true;
        if (disk.append(name, batch.toByteArray()) != durableBytes + batch.size()) {
            throw new ShortWriteException(name);
        }
        disk.sync(name);
        hasTornTail = false;
        durableBytes += batch.size();
        highestIndexes.merge(last, highestIndex, Math::max);
    }

    /**
     * Deletes the oldest segments that contain no entries above an index, but never the last
     * segment.
     */
    void deleteUpTo(long index) throws IOException {
        while (count() > 1 && highestIndexes.firstEntry().getValue() <= index) {
            disk.delete(oldestFileName());
            highestIndexes.remove(highestIndexes.firstKey());
        }
    }
}
