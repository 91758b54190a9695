package rockshift.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import rockshift.raft.Checksum;

/**
 * What goes over a member's connections: a length, a checksum, a kind and a payload. Pieces are put
 * together here; what is too long, garbled or of an unknown version ends the connection before
 * anything of it is used.
 */
public final class Frames {
    /** Bytes of the longest frame: a message's entries or a snapshot's piece, and room. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /**
     * Told by a member's hello. 2: changes may name a service and a zone, which members of version
     * 1 refuse to apply.
     */
    public static final int VERSION = 2;

    public static final byte HELLO = 1;
    public static final byte MESSAGE = 2;
    public static final byte CALL = 3;
    public static final byte REPLY = 4;

    /** A message of the distribution between a publisher and its subscriber. */
    public static final byte WATCH = 5;

    private static final int HEAD = 8;

    /** A frame that can't be used; the code is the reason that the log gives. */
    public static final class InvalidFrameException extends IOException {
        private static final long serialVersionUID = 1L;
        final String reasonCode;

        public InvalidFrameException(String code, String what) {
            super(what);
            this.reasonCode = code;
        }
    }

    /** One frame as it came: what kind it is and what it carries. */
    public record Frame(byte kind, byte[] payload) {}

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** Bytes that an idle connection may keep room for. */
    private static final int KEPT = 4 << 10;

    private ByteBuffer held = EMPTY;

    public static byte[] frame(byte kind, byte[] payload) {
        byte[] body = new byte[payload.length + 1];
        body[0] = kind;
        System.arraycopy(payload, 0, body, 1, payload.length);
        return ByteBuffer.allocate(HEAD + body.length)
                .putInt(body.length)
                .putInt(Checksum.of(body))
                .put(body)
                .array();
    }

    /** Adds bytes that came. */
    public void feed(ByteBuffer piece) {
        if (held.capacity() - held.limit() < piece.remaining()) {
            int needed = held.remaining() + piece.remaining();
            ByteBuffer larger =
                    ByteBuffer.allocate(
                            Math.max(needed, Math.min(MAX_FRAME_BYTES + HEAD, 2 * needed)));
            larger.put(held).flip();
            held = larger;
        }
        int position = held.position();
        int limit = held.limit();
        held.limit(limit + piece.remaining()).position(limit);
        held.put(piece).position(position);
    }

    /** The next whole frame, or null. */
    public Frame next() throws InvalidFrameException {
        if (held.remaining() < HEAD) {
            return null;
        }
        int length = held.getInt(held.position());
        fits(length);
        if (held.remaining() < HEAD + length) {
            return null;
        }
        held.getInt();
        int sum = held.getInt();
        byte[] body = new byte[length];
        held.get(body);
        if (!held.hasRemaining()) {
            held = held.capacity() > KEPT ? EMPTY : held.clear().limit(0);
        }
        return check(body, sum);
    }

    private static void fits(int length) throws InvalidFrameException {
        if (length < 1 || length > MAX_FRAME_BYTES) {
            throw new InvalidFrameException("too-long", "a frame of " + length + " bytes");
        }
    }

    private static Frame check(byte[] body, int sum) throws InvalidFrameException {
        if (sum != Checksum.of(body)) {
            throw new InvalidFrameException("garbled", "a frame whose checksum is wrong");
        }
        return new Frame(body[0], Arrays.copyOfRange(body, 1, body.length));
    }

    /** Waits for one frame. */
    public static Frame read(DataInputStream in) throws IOException {
        int length = in.readInt();
        int sum = in.readInt();
        fits(length);
        byte[] body = new byte[length];
        in.readFully(body);
        return check(body, sum);
    }
}
