package rockshift.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import rockshift.raft.Checksum;
import rockshift.raft.Entry;
import rockshift.raft.Snapshot;
import rockshift.wire.StateCodec;

/**
 * One whole record in the bytes of a file: {@code length u32, CRC32C u32, kind u8, payload}. The
 * checksum covers kind and payload, the length counts the payload alone.
 */
final class StoredRecord {
    /** Bytes of a record beside its payload. */
    static final int OVERHEAD_BYTES = 9;

    /** Bytes of the longest payload: a snapshot of the largest size, and room. */
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

    /** Appends a record to bytes that will be written. */
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

    /** The record at a place of a file; null if there is no whole one whose checksum is right. */
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

    /** The record of a kind at a place of a file, null if there is none. */
    static StoredRecord read(byte[] file, int offset, RecordKind kind) {
        // The kind is compared first: a search through a whole file computes few checksums so.
        boolean mayBe =
                offset + OVERHEAD_BYTES <= file.length && file[offset + KIND_OFFSET] == kind.code();
        return mayBe ? read(file, offset) : null;
    }

    /** The record of a kind that fills a whole file, null if the file is anything else. */
    static StoredRecord readOnly(byte[] file, RecordKind kind) {
        StoredRecord record = read(file, 0, kind);
        return record != null && record.end() == file.length ? record : null;
    }

    int offset() {
        return offset;
    }

    /** Where the next record begins. */
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
