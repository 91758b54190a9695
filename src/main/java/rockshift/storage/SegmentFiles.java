package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Consumer;
import rockshift.raft.TermAndVote;
import rockshift.wire.StateCodec;

/** The segments of a log: numbered files without a gap, of which the last one is written to. */
final class SegmentFiles {
    /** A new segment begins after so many: small enough to read whole, large enough to be rare. */
    private static final int MAX_SEGMENT_BYTES = 4 << 20;

    private static final String PREFIX = "log-";
    private static final int HEXADECIMAL = 16;

    private final Disk disk;
    private final Consumer<String> logLines;
    private long memberId;

    /** By segment number, the highest index that its entries have. */
    private final TreeMap<Long, Long> highestIndexes = new TreeMap<>();

    /** Bytes of the last segment that are durable. */
    private int durableBytes;

    /** Whether a write failed, so that the last segment may hold more than is durable. */
    private boolean hasTornTail;

    SegmentFiles(Disk disk, Consumer<String> logLines) {
        this.disk = disk;
        this.logLines = logLines;
    }

    private static String name(long number) {
        return String.format(Locale.ROOT, PREFIX + "%016x", number);
    }

    int count() {
        return highestIndexes.size();
    }

    /** The file of the oldest segment. */
    String firstName() {
        return name(highestIndexes.firstKey());
    }

    // ---- reading --------------------------------------------------------------------------------

    /** Reads all segments in order; cuts the torn tail of the last, refuses any other damage. */
    void recover(List<String> names, long member, LogRecovery recovery) throws IOException {
        memberId = member;
        for (String name : names) {
            if (name.startsWith(PREFIX)) {
                String digits = name.substring(PREFIX.length());
                highestIndexes.put(Long.parseUnsignedLong(digits, HEXADECIMAL), 0L);
            }
        }
        long expected = highestIndexes.isEmpty() ? 0 : highestIndexes.firstKey();
        for (long number : List.copyOf(highestIndexes.keySet())) {
            if (number != expected) {
                throw new UnrecoverableStorageException(
                        name(number), 0, "segment " + expected + " before it is missing");
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
        byte[] bytes = disk.read(name(number));
        if (isLast && bytes.length < SegmentHeader.BYTES) {
            // Creation syncs the bytes before it renames the file, so a crash alone leaves none as
            // short as this. What remains is a disk that made the name durable before the bytes.
            disk.delete(name(number));
            highestIndexes.remove(number);
        } else {
            durableBytes = replaySegment(number, bytes, isLast, recovery);
        }
    }

    /** Answers where the sound part ends. */
    private int replaySegment(long number, byte[] bytes, boolean isLast, LogRecovery recovery)
            throws IOException {
        String name = name(number);
        SegmentHeader.check(name, bytes, number, memberId);
        int offset = SegmentHeader.BYTES;
        while (offset < bytes.length) {
            StoredRecord record = StoredRecord.read(bytes, offset);
            if (record == null) {
                cutTornTailOrRefuse(name, bytes, offset, isLast);
                return offset;
            }
            long index = recovery.replay(name, record);
            highestIndexes.merge(number, index, Math::max);
            offset = record.end();
        }
        return offset;
    }

    /** Cuts what an unfinished save left; refuses the file if acknowledged records may be lost. */
    private void cutTornTailOrRefuse(String name, byte[] bytes, int offset, boolean isLast)
            throws IOException {
        if (!isLast) {
            throw new CorruptRecordException(
                    name, offset, "damaged, and more follows in the next segment");
        }
        refuseIfDurable(name, bytes, offset);
        logLines.accept(
                name
                        + ": "
                        + (bytes.length - offset)
                        + " bytes of an unfinished save cut at byte "
                        + offset);
        disk.truncate(name, offset);
    }

    /**
     * Distinguishes damage from a torn tail: a later batch names what was durable when it was
     * begun, and if that includes this place, an acknowledged write is lost.
     */
    private static void refuseIfDurable(String name, byte[] bytes, int offset) throws IOException {
        for (int later = offset + 1; later + StoredRecord.OVERHEAD_BYTES < bytes.length; later++) {
            StoredRecord batch = StoredRecord.read(bytes, later, RecordKind.BATCH);
            if (batch != null && batch.numbers(1)[0] > offset) {
                throw new CorruptRecordException(
                        name,
                        offset,
                        "damaged, though it was durable before byte " + later + " was written");
            }
        }
    }

    // ---- writing --------------------------------------------------------------------------------

    private void startSegment(long number, TermAndVote termAndVote) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(SegmentHeader.encode(number, memberId));
        // Older segments will be deleted, and must not take the vote with them.
        StoredRecord.write(
                bytes, RecordKind.TERM_AND_VOTE, StateCodec.encodeTermAndVote(termAndVote));
        AtomicFile.replace(disk, name(number), bytes.toByteArray());
        highestIndexes.put(number, 0L);
        durableBytes = bytes.size();
    }

    /** Makes the last segment ready to be written to, or begins another. */
    void prepareWrite(TermAndVote durableTermAndVote) throws IOException {
        long last = highestIndexes.lastKey();
        if (hasTornTail) {
            disk.truncate(name(last), durableBytes);
            hasTornTail = false;
        }
        if (durableBytes > MAX_SEGMENT_BYTES) {
            startSegment(last + 1, durableTermAndVote);
        }
    }

    /** The record that every batch begins with. */
    ByteArrayOutputStream startBatch() throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        StoredRecord.write(batch, RecordKind.BATCH, StateCodec.encodeNumbers(durableBytes));
        return batch;
    }

    /** Makes a batch durable; if that fails, what was durable before stays as it was. */
    void write(ByteArrayOutputStream batch, long highestIndex) throws IOException {
        long last = highestIndexes.lastKey();
        String name = name(last);
        hasTornTail = true;
        if (disk.append(name, batch.toByteArray()) != durableBytes + batch.size()) {
            throw new ShortWriteException(name);
        }
        disk.sync(name);
        hasTornTail = false;
        durableBytes += batch.size();
        highestIndexes.merge(last, highestIndex, Math::max);
    }

    /** Deletes the oldest segments, as far as they hold nothing above an index. */
    void deleteUpTo(long index) throws IOException {
        while (count() > 1 && highestIndexes.firstEntry().getValue() <= index) {
            disk.delete(firstName());
            highestIndexes.remove(highestIndexes.firstKey());
        }
    }
}
