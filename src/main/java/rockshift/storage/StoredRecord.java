package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import rockshift.raft.Checksum;
import rockshift.raft.Entry;
import rockshift.raft.Snapshot;
import rockshift.wire.StateCodec;

/**
 * A complete record in the content of a file: {@code length u32, CRC32C u32, kind u8, payload}. The
 * checksum covers kind and payload; the length is that of the payload only.
 */
final class StoredRecord {
    /** Size of a record without its payload. */
    static final int OVERHEAD_BYTES = 9;

    /** Maximum size of a payload: holds a snapshot of the maximum size, with room to spare. */
    private static final int MAX_PAYLOAD_BYTES = 32 << 20;

    private static final int CHECKSUM_OFFSET = 4;
    private static final int KIND_OFFSET = 8;

    private final byte[] file;
    private final int offset;
    private final int payloadLength;

    private StoredRecord(byte[] file, int offset, int payloadLength) {
        this.file = file;
        this.offset = offset;
        this.payloadLength = payloadLength;
    }

    /** Appends a record to a buffer. */
    static void write(ByteArrayOutputStream into, RecordKind kind, byte[] payload) {
        byte[] body = new byte[payload.length + 1];
        body[0] = kind.code();
        System.arraycopy(payload, 0, body, 1, payload.length);
        into.writeBytes(
                ByteBuffer.allocate(KIND_OFFSET)
                        .putInt(payload.length)
                        .putInt(Checksum.of(body))
                        .array());
        into.writeBytes(body);
    }

    /**
     * Returns the record at an offset of a file, or null if there is no complete record with a
     * correct checksum.
     */
    static StoredRecord read(byte[] file, int offset) {
        if (offset + OVERHEAD_BYTES > file.length) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int length = buffer.getInt(offset);
        boolean fits =
                length >= 0
                        && length <= MAX_PAYLOAD_BYTES
                        && length <= file.length - offset - OVERHEAD_BYTES;
        if (!fits) {
            return null;
        }
        int checksum = Checksum.of(file, offset + KIND_OFFSET, length + 1);
        return buffer.getInt(offset + CHECKSUM_OFFSET) == checksum
                ? new StoredRecord(file, offset, length)
                : null;
    }

    /** Returns the record of a kind at an offset of a file, or null if there is none. */
    static StoredRecord read(byte[] file, int offset, RecordKind kind) {
        // The kind is compared first, so that a search through a whole file computes few checksums.
        boolean kindMatches =
                offset + OVERHEAD_BYTES <= file.length && file[offset + KIND_OFFSET] == kind.code();
        return kindMatches ? read(file, offset) : null;
    }

    /**
     * Returns the record of a kind that is the only content of a file, or null if the file has any
     * other content.
     */
    static StoredRecord readSingle(byte[] file, RecordKind kind) {
        StoredRecord record = read(file, 0, kind);
        return record != null && record.end() == file.length ? record : null;
    }

    int offset() {
        return offset;
    }

    /** Returns the offset of the next record. */
    int end() {
        return offset + OVERHEAD_BYTES + payloadLength;
    }

    byte kindCode() {
        return file[offset + KIND_OFFSET];
    }

    long[] numbers(int count) throws IOException {
        return StateCodec.decodeNumbers(count, file, offset + OVERHEAD_BYTES, payloadLength);
    }

    Entry entry() throws IOException {
        return StateCodec.decodeEntry(file, offset + OVERHEAD_BYTES, payloadLength);
    }

    Snapshot snapshot() throws IOException {
        return StateCodec.decodeSnapshot(file, offset + OVERHEAD_BYTES, payloadLength);
    }
}
