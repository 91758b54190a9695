package rockshift.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import rockshift.net.PeerMemory;

/**
 * A connection that exchanges {@link Frames} with a peer. It owns the socket, the received bytes,
 * the frames queued for sending, and the reason why it was closed: only the first reason given is
 * kept. Events are delivered on the reactor's thread; {@link #send} and {@link #close} may be
 * called from any thread.
 */
public abstract class FramedConnection implements IOEventHandler, PeerMemory.Holder {
    /**
     * Time after which a peer that reads nothing, while frames are queued for it, counts as
     * stalled.
     */
    private static final long MAX_STALL_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The reason if the process holds too much for its peers. */
    private static final String OVERLOAD = "overload";

    /** Maximum time that a closing connection waits for the peer to read the queued frames. */
    private static final int CLOSE_GRACE_MILLIS = 500;

    /** Maximum number of bytes read from one connection before others are served. */
    private static final int MAX_READ_BYTES = 256 << 10;

    /** Number of bytes that may wait while the input is paused. */
    private static final int MAX_READ_AHEAD_BYTES = 256 << 10;

    private final IOSession session;
    private final SocketAddress peerAddress;
    private final ByteBuffer readBuffer;
    private final int maxUnsentBytes;
    private final PeerMemory.Account memory;

    /** Held while received bytes are handled. */
    private final ReentrantLock inputLock = new ReentrantLock();

    /** Guarded by the lock above. */
    private final Frames frames;

    /** Used only by the reactor's thread. */
    private boolean inputEnded;

    /** Set by the reactor's thread, reset by any. */
    private volatile boolean inputPaused;

    // Guarded by the session's lock. The first of the queued frames may be partly sent.
    private final ArrayDeque<ByteBuffer> queuedFrames = new ArrayDeque<>();
    private int unsentBytes;
    private long lastProgressNanos = System.nanoTime();
    private boolean closesWhenSent;
    // Guarded by this object's monitor.
    private String reason;
    private String reasonDetail = "";

    /**
     * Creates a connection on a session that was accepted or opened.
     *
     * @param readBuffer shared by all connections of one reactor thread
     * @param maxUnsentBytes maximum number of bytes queued for sending
     * @param outgoing whether this process has opened it
     */
    protected FramedConnection(
            IOSession session, ByteBuffer readBuffer, int maxUnsentBytes, boolean outgoing) {
        PeerMemory all = PeerMemory.ofProcess();
        memory = outgoing ? all.openOutgoing() : all.open(this);
        frames = new Frames(memory);
        this.session = session;
        this.peerAddress = session.getRemoteAddress();
        this.readBuffer = readBuffer;
        this.maxUnsentBytes = maxUnsentBytes;
    }

    /**
     * Handles a received frame.
     *
     * @throws Frames.InvalidFrameException to close the connection with the exception's code
     * @throws IOException to close the connection as malformed
     */
    protected abstract void frameReceived(Frames.Frame frame) throws IOException;

    /** Called when the connection was closed. {@link #reason} returns why. */
    protected abstract void closed();

    /** Returns the underlying session. */
    public final IOSession session() {
        return session;
    }

    /** Returns the address of the peer. */
    public final SocketAddress peerAddress() {
        return peerAddress;
    }

    /** Returns the code of the reason for closing, null while the connection is open. */
    public final synchronized String reason() {
        return reason;
    }

    /** Returns details of the reason, for the log. */
    public final synchronized String reasonDetail() {
        return reasonDetail;
    }

    /**
     * Reads a bounded part of what has arrived, so that a peer that sends at full speed does not
     * keep others waiting, and handles the frames in it. The end of the input is noticed before the
     * frames in front of it are handled.
     */
    @Override
    public final void inputReady(IOSession same, ByteBuffer unused) throws IOException {
        inputLock.lock();
        try {
            int total = 0;
            int count = 1;
            while (count > 0 && total < MAX_READ_BYTES && !isReadAheadFull()) {
                count = readAndFeed();
                total += count;
            }
            inputEnded |= count < 0;
            handleFrames();
        } catch (PeerMemory.ExceededException exceeded) {
            close(OVERLOAD, exceeded.getMessage());
        } finally {
            inputLock.unlock();
        }
        if (inputEnded) {
            close("left", "");
        } else if (isReadAheadFull()) {
            session.clearEvent(SelectionKey.OP_READ);
        }
    }

    private int readAndFeed() throws IOException {
        readBuffer.clear();
        int count = session.read(readBuffer);
        if (count > 0 && reason() == null) {
            frames.feed(readBuffer.flip());
        }
        return count;
    }

    private boolean isReadAheadFull() {
        return inputPaused && frames.bufferedBytes() >= MAX_READ_AHEAD_BYTES;
    }

    /** Handles the frames that have arrived, until the input is paused. */
    private void handleFrames() {
        try {
            while (reason() == null && !inputPaused) {
                Frames.Frame frame = frames.next();
                if (frame == null) {
                    return;
                }
                frameReceived(frame);
            }
        } catch (Frames.InvalidFrameException invalid) {
            close(invalid.reasonCode(), invalid.getMessage());
        } catch (IOException malformed) {
            close("malformed", malformed.getMessage());
        }
    }

    /** Returns whether the peer has ended its input. Used on the reactor's thread. */
    protected final boolean isInputEnded() {
        return inputEnded;
    }

    /**
     * Stops to handle frames until {@link #resumeInput}, as the peer has sent more than is handled.
     * Some more bytes are still read, to notice the end of the input.
     */
    protected final void pauseInput() {
        inputPaused = true;
    }

    /** Handles frames again, on the reactor's thread. May be called by any thread. */
    protected final void resumeInput() {
        if (inputPaused && reason() == null) {
            inputPaused = false;
            try {
                session.setEvent(SelectionKey.OP_READ);
                // The reactor's thread is then called although nothing more may arrive.
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException closing) {
                // The connection's end is about to be reported.
            }
        }
    }

    private void handleFramesThatWaited() {
        inputLock.lock();
        try {
            handleFrames();
        } finally {
            inputLock.unlock();
        }
        if (!inputPaused && reason() == null) {
            // The input may have been resumed just before this thread stopped to read.
            session.setEvent(SelectionKey.OP_READ);
        }
    }

    /** Returns the account of the memory that is held for this connection's peer. */
    public final PeerMemory.Account memory() {
        return memory;
    }

    @Override
    public final void closeToFreeMemory() {
        close(OVERLOAD, "holds most of the memory that all peers may hold");
        discardUnsent();
        // Received bytes that are in use, by this thread or another, are dropped by their user.
        if (!inputLock.isHeldByCurrentThread() && inputLock.tryLock()) {
            try {
                frames.discard();
            } finally {
                inputLock.unlock();
            }
        }
    }

    private void discardUnsent() {
        session.getLock().lock();
        try {
            queuedFrames.clear();
            memory.release(unsentBytes);
            unsentBytes = 0;
        } finally {
            session.getLock().unlock();
        }
    }

    /**
     * Sends a frame, on the caller's thread if no other frame is queued.
     *
     * @return whether it was sent or queued; false if it was dropped because too many bytes are
     *     queued or the connection is closing
     */
    public final boolean send(byte kind, byte[] payload) {
        int size = Frames.size(payload);
        if (reason() != null || !memory.charge(size)) {
            return false;
        }
        ByteBuffer frame = ByteBuffer.wrap(Frames.frame(kind, payload));
        int queuedBytes = 0;
        session.getLock().lock();
        try {
            if (closesWhenSent) {
                return false;
            }
            if (queuedFrames.isEmpty()) {
                session.write(frame);
                lastProgressNanos = System.nanoTime();
            }
            if (!frame.hasRemaining()) {
                return true;
            }
            if (unsentBytes + frame.remaining() > maxUnsentBytes) {
                return false;
            }
            queuedBytes = frame.remaining();
            unsentBytes += queuedBytes;
            queuedFrames.add(frame);
            session.setEvent(SelectionKey.OP_WRITE);
            return true;
        } catch (IOException broken) {
            close("reset", String.valueOf(broken.getMessage()));
            return false;
        } finally {
            session.getLock().unlock();
            memory.release(size - queuedBytes);
        }
    }

    @Override
    public final void outputReady(IOSession same) throws IOException {
        writeQueuedFrames();
        handleFramesThatWaited();
    }

    private void writeQueuedFrames() throws IOException {
        session.getLock().lock();
        try {
            for (ByteBuffer first = queuedFrames.peek();
                    first != null;
                    first = queuedFrames.peek()) {
                int written = session.write(first);
                unsentBytes -= written;
                memory.release(written);
                if (written > 0) {
                    lastProgressNanos = System.nanoTime();
                }
                if (first.hasRemaining()) {
                    return;
                }
                queuedFrames.remove();
            }
            session.clearEvent(SelectionKey.OP_WRITE);
            if (closesWhenSent) {
                session.close(CloseMode.GRACEFUL);
            }
        } finally {
            session.getLock().unlock();
        }
    }

    /** Returns whether frames are queued and the peer has read nothing for too long. */
    public final boolean isStalled() {
        session.getLock().lock();
        try {
            return !queuedFrames.isEmpty()
                    && System.nanoTime() - lastProgressNanos > MAX_STALL_NANOS;
        } finally {
            session.getLock().unlock();
        }
    }

    /** Closes the connection at once. Queued frames are lost. */
    public final void close(String code, String detail) {
        if (recordReason(code, detail)) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Closes the connection once all queued frames are written, or after a short time if the peer
     * does not read them.
     */
    public final void closeAfterFlush(String code, String detail) {
        if (!recordReason(code, detail)) {
            return;
        }
        session.getLock().lock();
        try {
            closesWhenSent = true;
            if (queuedFrames.isEmpty()) {
                session.close(CloseMode.GRACEFUL);
            } else {
                session.clearEvent(SelectionKey.OP_READ);
                session.setSocketTimeout(Timeout.ofMilliseconds(CLOSE_GRACE_MILLIS));
            }
        } finally {
            session.getLock().unlock();
        }
    }

    /**
     * Records the reason for closing.
     *
     * @return false if there already is one
     */
    private synchronized boolean recordReason(String code, String detail) {
        if (reason != null) {
            return false;
        }
        reason = code;
        reasonDetail = detail;
        return true;
    }

    @Override
    public final void timeout(IOSession same, Timeout after) {
        if (reason() == null) {
            idleTimeout();
        } else {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /** Called when nothing was received or sent for the socket timeout. */
    protected abstract void idleTimeout();

    @Override
    public final void exception(IOSession same, Exception failure) {
        if (!(failure instanceof IOException)) {
            failed(failure);
        }
        close(
                failure instanceof IOException ? "reset" : "failure",
                String.valueOf(failure.getMessage()));
    }

    /** Called when this program failed while handling the connection. */
    protected abstract void failed(Exception failure);

    @Override
    public final void disconnected(IOSession same) {
        closed();
        memory.close();
    }
}
