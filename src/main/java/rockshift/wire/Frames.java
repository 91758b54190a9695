package rockshift.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import rockshift.raft.Checksum;

/**
 * The frames of one connection: {@code length u32, CRC32C u32, kind u8, payload}. The length and
 * the checksum cover kind and payload. An instance assembles frames from the bytes as they arrive;
 * a frame that is too long or whose checksum is wrong is an error before anything of it is used.
 */
public final class Frames {
    /** Bytes of the longest frame: a message's entries or a snapshot chunk, and room. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /**
     * The version of the protocol, sent in {@link Hello}. In version 2 changes may name a service
     * and a zone, which members of version 1 refuse to apply.
     */
    public static final int VERSION = 2;

    /** {@link Hello}, the first frame between members. */
    public static final byte HELLO = 1;

    /** A message of Raft. */
    public static final byte MESSAGE = 2;

    /** A command of operators, as JSON. */
    public static final byte CALL = 3;

    /** The answer to a command. */
    public static final byte REPLY = 4;

    /** A message of the distribution between a publisher and its subscriber. */
    public static final byte WATCH = 5;

    private static final int HEADER_BYTES = 8;

    /** A frame that can't be used: the connection ends. */
    public static final class InvalidFrameException extends IOException {
        private static final long serialVersionUID = 1L;
        private final String reasonCode;

        /**
         * A frame that is refused.
         *
         * @param code the reason as the log gives it
         * @param what more of it, for operators
         */
        public InvalidFrameException(String code, String what) {
            super(what);
            this.reasonCode = code;
        }

        /** The reason as the log gives it. */
        public String reasonCode() {
            return reasonCode;
        }
    }

    /** One whole frame. */
    public record Frame(byte kind, byte[] payload) {}

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** A larger buffer is let go when it is empty, as most connections are idle. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4 << 10;

    private ByteBuffer buffer = EMPTY;

    /** The bytes of a frame. */
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

    /** Takes bytes as they arrive. */
    public void feed(ByteBuffer received) {
        if (buffer.capacity() - buffer.limit() < received.remaining()) {
            int needed = buffer.remaining() + received.remaining();
            ByteBuffer larger =
                    ByteBuffer.allocate(
                            Math.max(needed, Math.min(MAX_FRAME_BYTES + HEADER_BYTES, 2 * needed)));
            larger.put(buffer).flip();
            buffer = larger;
        }
        int position = buffer.position();
        int limit = buffer.limit();
        buffer.limit(limit + received.remaining()).position(limit);
        buffer.put(received).position(position);
    }

    /** The next whole frame, null if there is none yet. */
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
            buffer = buffer.capacity() > MAX_IDLE_BUFFER_BYTES ? EMPTY : buffer.clear().limit(0);
        }
        return check(body, checksum);
    }

    private static void checkLength(int length) throws InvalidFrameException {
        if (length < 1 || length > MAX_FRAME_BYTES) {
            throw new InvalidFrameException("too-long", "a frame of " + length + " bytes");
        }
    }

    private static Frame check(byte[] body, int checksum) throws InvalidFrameException {
        if (checksum != Checksum.of(body)) {
            throw new InvalidFrameException("garbled", "a frame whose checksum is wrong");
        }
        return new Frame(body[0], Arrays.copyOfRange(body, 1, body.length));
    }

    /** Reads one frame and waits until it is whole. */
    public static Frame read(DataInputStream in) throws IOException {
        int length = in.readInt();
        int checksum = in.readInt();
        checkLength(length);
        byte[] body = new byte[length];
        in.readFully(body);
        return check(body, checksum);
    }
}
