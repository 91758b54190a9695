package rockshift.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * One connection that carries {@link Frames} both ways. It owns the socket, the bytes received and
 * those that wait to be sent, and why it ended: the first reason that is given counts. Events come
 * on the reactor's thread; {@link #send} and {@link #end} may be called from any thread.
 */
public abstract class FramedConnection implements IOEventHandler {
    /** The peer may read nothing for so long while frames wait for it. */
    private static final long MAX_STALL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A connection that ends waits so long for the peer to read what was sent before. */
    private static final int CLOSE_GRACE_MILLIS = 500;

    private final IOSession session;
    private final SocketAddress from;
    private final ByteBuffer readBuffer;
    private final int maxUnsentBytes;
    private final Frames frames = new Frames();
    // Guarded by the session's lock: frames that wait, the first perhaps in part, and their bytes.
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private int unsentBytes;
    private long lastProgressNanos = System.nanoTime();
    private boolean closesWhenSent;
    // Guarded by this object's monitor.
    private String reason;
    private String about = "";

    /**
     * A connection on a session that was accepted or opened.
     *
     * @param readBuffer shared by all connections of one reactor's thread
     * @param maxUnsentBytes bytes that may wait to be sent
     */
    protected FramedConnection(IOSession session, ByteBuffer readBuffer, int maxUnsentBytes) {
        this.session = session;
        this.from = session.getRemoteAddress();
        this.readBuffer = readBuffer;
        this.maxUnsentBytes = maxUnsentBytes;
    }

    /**
     * Takes a frame. A thrown {@link Frames.InvalidFrameException} ends the connection with its
     * code, another failure as malformed.
     */
    protected abstract void take(Frames.Frame frame) throws IOException;

    /** The connection has ended, for the reason that {@link #reason} gives. */
    protected abstract void ended();

    /** The session that carries it. */
    public final IOSession session() {
        return session;
    }

    /** The address of the peer. */
    public final SocketAddress from() {
        return from;
    }

    /** The code of the reason for which it ended; null while it is open. */
    public final synchronized String reason() {
        return reason;
    }

    /** More about the reason, for the log. */
    public final synchronized String about() {
        return about;
    }

    @Override
    public final void inputReady(IOSession same, ByteBuffer unused) throws IOException {
        int count;
        do {
            readBuffer.clear();
            count = session.read(readBuffer);
            if (count < 0) {
                end("left", "");
                return;
            }
            takeAll(readBuffer.flip());
        } while (count == readBuffer.capacity() && reason() == null);
    }

    private void takeAll(ByteBuffer received) {
        try {
            frames.feed(received);
            for (Frames.Frame frame = frames.next();
                    frame != null && reason() == null;
                    frame = frames.next()) {
                take(frame);
            }
        } catch (Frames.InvalidFrameException invalid) {
            end(invalid.reasonCode(), invalid.getMessage());
        } catch (IOException malformed) {
            end("malformed", malformed.getMessage());
        }
    }

    /**
     * Sends a frame, from the caller's thread where nothing waits before it.
     *
     * @return whether it was sent or waits; false where it was dropped, since too much waits
     *     already or the connection ends
     */
    public final boolean send(byte kind, byte[] payload) {
        ByteBuffer frame = ByteBuffer.wrap(Frames.frame(kind, payload));
        session.getLock().lock();
        try {
            if (closesWhenSent) {
                return false;
            }
            if (waiting.isEmpty()) {
                session.write(frame);
                lastProgressNanos = System.nanoTime();
            }
            if (!frame.hasRemaining()) {
                return true;
            }
            if (unsentBytes + frame.remaining() > maxUnsentBytes) {
                return false;
            }
            unsentBytes += frame.remaining();
            waiting.add(frame);
            session.setEvent(SelectionKey.OP_WRITE);
            return true;
        } catch (IOException broken) {
            end("reset", String.valueOf(broken.getMessage()));
            return false;
        } finally {
            session.getLock().unlock();
        }
    }

    @Override
    public final void outputReady(IOSession same) throws IOException {
        session.getLock().lock();
        try {
            for (ByteBuffer first = waiting.peek(); first != null; first = waiting.peek()) {
                int written = session.write(first);
                unsentBytes -= written;
                if (written > 0) {
                    lastProgressNanos = System.nanoTime();
                }
                if (first.hasRemaining()) {
                    return;
                }
                waiting.remove();
            }
            session.clearEvent(SelectionKey.OP_WRITE);
            if (closesWhenSent) {
                session.close(CloseMode.GRACEFUL);
            }
        } finally {
            session.getLock().unlock();
        }
    }

    /** Whether frames wait and the peer has read nothing for too long. */
    public final boolean stalled() {
        session.getLock().lock();
        try {
            return !waiting.isEmpty() && System.nanoTime() - lastProgressNanos > MAX_STALL_NANOS;
        } finally {
            session.getLock().unlock();
        }
    }

    /** Ends the connection at once; what still waits is lost. */
    public final void end(String why, String what) {
        if (recordReason(why, what)) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** Ends the connection once what was sent is written, or soon if the peer does not read it. */
    public final void endWhenSent(String why, String what) {
        if (!recordReason(why, what)) {
            return;
        }
        session.getLock().lock();
        try {
            closesWhenSent = true;
            if (waiting.isEmpty()) {
                session.close(CloseMode.GRACEFUL);
            } else {
                session.clearEvent(SelectionKey.OP_READ);
                session.setSocketTimeout(Timeout.ofMilliseconds(CLOSE_GRACE_MILLIS));
            }
        } finally {
            session.getLock().unlock();
        }
    }

    /** Keeps the reason if it is the first. */
    private synchronized boolean recordReason(String why, String what) {
        if (reason != null) {
            return false;
        }
        reason = why;
        about = what;
        return true;
    }

    @Override
    public final void timeout(IOSession same, Timeout after) {
        if (reason() == null) {
            quiet();
        } else {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** Nothing was received or sent for the timeout of the socket. */
    protected abstract void quiet();

    @Override
    public final void exception(IOSession same, Exception failure) {
        if (!(failure instanceof IOException)) {
            failed(failure);
        }
        end(
                failure instanceof IOException ? "reset" : "failure",
                String.valueOf(failure.getMessage()));
    }

    /** A fault of this program while it handled the connection. */
    protected abstract void failed(Exception failure);

    @Override
    public final void disconnected(IOSession same) {
        ended();
    }
}
