package rockshift.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import rockshift.net.PeerMemory;
import rockshift.raft.Checksum;

/**
 * The frame format of a connection, {@code length u32, CRC32C u32, kind u8, payload}, and its
 * decoder. The length and the checksum cover kind and payload. An instance assembles frames from
 * bytes as they arrive. A frame that is too long or has a wrong checksum is rejected before any of
 * its content is used.
 */
public final class Frames {
    /**
     * Maximum size of a frame: holds the entries of a message or a snapshot chunk, with room to
     * spare.
     */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /**
     * The version of the protocol, sent in {@link Hello}. Since version 2, changes may contain a
     * service and a zone, which members of version 1 refuse to apply.
     */
    public static final int VERSION = 2;

    /** {@link Hello}, the first frame between members. */
    public static final byte HELLO = 1;

    /** A Raft message. */
    public static final byte MESSAGE = 2;

    /** An operator's command, as JSON. */
    public static final byte CALL = 3;

    /** The response to a command. */
    public static final byte REPLY = 4;

    /** A message between a publisher of agreed state and its subscriber. */
    public static final byte WATCH = 5;

    private static final int HEADER_BYTES = 8;

    /** Thrown if a frame is invalid; the connection must be closed. */
    public static final class InvalidFrameException extends IOException {
        private static final long serialVersionUID = 1L;
        private final String reasonCode;

        /**
         * Creates the exception for a frame that is rejected.
         *
         * @param code the code of the reason, for the log
         * @param detail details of the reason, for operators
         */
        public InvalidFrameException(String code, String detail) {
            super(detail);
            this.reasonCode = code;
        }

        /** Returns the code of the reason, for the log. */
        public String reasonCode() {
            return reasonCode;
        }
    }

    /** A complete frame. */
    public record Frame(byte kind, byte[] payload) {}

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** A larger buffer is released when it is empty, as most connections are idle. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4 << 10;

    /** Charged for the buffer; null for none. */
    private final PeerMemory.Account account;

    private ByteBuffer buffer = EMPTY;

    /** Creates an instance whose memory is not limited. */
    public Frames() {
        this(null);
    }

    /** Creates an instance that charges its buffer to the account of a connection. */
    Frames(PeerMemory.Account account) {
        this.account = account;
    }

    /** Returns an encoded frame. */
    public static byte[] frame(byte kind, byte[] payload) {
        byte[] body = new byte[payload.length + 1];
        body[0] = kind;
        System.arraycopy(payload, 0, body, 1, payload.length);
        return ByteBuffer.allocate(HEADER_BYTES + body.length)
                .putInt(body.length)
                .putInt(Checksum.of(body))
                .put(body)
                .array();
    }

    /** Returns the size of an encoded frame. */
    static int size(byte[] payload) {
        return HEADER_BYTES + 1 + payload.length;
    }

    /**
     * Adds bytes as they arrive.
     *
     * @throws PeerMemory.ExceededException if they are not accepted; the instance is then unusable
     */
    public void feed(ByteBuffer received) {
        if (buffer.capacity() - buffer.limit() < received.remaining()) {
            int needed = buffer.remaining() + received.remaining();
            int capacity = Math.max(needed, Math.min(MAX_FRAME_BYTES + HEADER_BYTES, 2 * needed));
            if (account != null && !account.charge(capacity)) {
                throw new PeerMemory.ExceededException(capacity);
            }
            ByteBuffer larger = ByteBuffer.allocate(capacity);
            larger.put(buffer).flip();
            replaceBuffer(larger);
        }
        int position = buffer.position();
        int limit = buffer.limit();
        buffer.limit(limit + received.remaining()).position(limit);
        buffer.put(received).position(position);
    }

    /** Returns the number of bytes that wait to be returned as frames. */
    int bufferedBytes() {
        return buffer.remaining();
    }

    private void replaceBuffer(ByteBuffer replacement) {
        if (account != null) {
            account.release(buffer.capacity());
        }
        buffer = replacement;
    }

    /** Drops what was received. */
    void discard() {
        replaceBuffer(EMPTY);
    }

    /** Returns the next complete frame, or null if more bytes are needed. */
    public Frame next() throws InvalidFrameException {
        if (buffer.remaining() < HEADER_BYTES) {
            return null;
        }
        int length = buffer.getInt(buffer.position());
        checkLength(length);
        if (buffer.remaining() < HEADER_BYTES + length) {
            return null;
        }
        buffer.getInt();
        int checksum = buffer.getInt();
        byte[] body = new byte[length];
        buffer.get(body);
        if (!buffer.hasRemaining()) {
            if (buffer.capacity() > MAX_IDLE_BUFFER_BYTES) {
                discard();
            } else {
                buffer.clear().limit(0);
            }
        }
        return check(body, checksum);
    }

    private static void checkLength(int length) throws InvalidFrameException {
        if (length < 1 || length > MAX_FRAME_BYTES) {
            throw new InvalidFrameException(
                    "too-long",
                    "a frame of " + length + " bytes, expected 1 to " + MAX_FRAME_BYTES);
        }
    }

    private static Frame check(byte[] body, int checksum) throws InvalidFrameException {
        if (checksum != Checksum.of(body)) {
            throw new InvalidFrameException(
                    "garbled", "wrong checksum of a frame of " + body.length + " bytes");
        }
        return new Frame(body[0], Arrays.copyOfRange(body, 1, body.length));
    }

    /** Reads one frame; blocks until it is complete. */
    public static Frame read(DataInputStream in) throws IOException {
        int length = in.readInt();
        int checksum = in.readInt();
        checkLength(length);
        byte[] body = new byte[length];
        in.readFully(body);
        return check(body, checksum);
    }
}
