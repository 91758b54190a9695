package rockshift.server;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import rockshift.net.PeerMemory;

/**
 * One connection of a peer. It decodes the received bytes to messages, passes these to the planner
 * as events, and writes the planner's messages to the peer. Whatever a peer does, at most its own
 * connection is closed.
 *
 * <p>It belongs to the reactor's thread. The event loop's thread also calls {@link #send}, which
 * may close the connection; the fields that both threads use are atomic or concurrent.
 */
final class ProxyConnection implements IOEventHandler, ProxyChannel, PeerMemory.Holder {
    /** Time within which a peer must identify itself; the protocol allows 3 s. */
    static final int IDENTIFY_TIMEOUT_MS = 1_500;

    /**
     * The same if the connection limit is reached: peers send their first message when they
     * connect. It is also the interval at which a silent connection is checked.
     */
    static final int CROWDED_IDENTIFY_TIMEOUT_MS = 300;

    /**
     * Unsent bytes above which a further message closes the connection, as the protocol defines.
     */
    private static final int MAX_UNSENT_BYTES = 128 << 10;

    /** The limit for answers to pings, lower because a peer can cause any number of them. */
    private static final int MAX_UNSENT_PONG_BYTES = 2 << 10;

    private static final byte[] PONG = RespCodec.message(List.of(RespCodec.PONG));

    private record Closure(CloseReason reason, String detail) {}

    private final IOSession session;
    private final SocketAddress remote;
    private final ProxyConnections connections;
    private final EventLoop loop;
    private final long acceptedNanos = System.nanoTime();
    private final PeerMemory.Account memory = PeerMemory.ofProcess().open(this);

    /** Held while received bytes are handled. */
    private final ReentrantLock inputLock = new ReentrantLock();

    /** Guarded by the lock above. */
    private final RespCodec codec = new RespCodec(memory);

    private final SendBuffer sendBuffer = new SendBuffer(memory);

    /** Number of messages of this peer that are in the event loop's queue. */
    private final AtomicInteger pendingMessages = new AtomicInteger();

    /** Set once, by the first thread that closes the connection; null while it is open. */
    private final AtomicReference<Closure> closure = new AtomicReference<>();

    private PeerIdentity peer = PeerIdentity.UNIDENTIFIED;
    private int droppedMessages;

    ProxyConnection(IOSession session, ProxyConnections connections, EventLoop loop) {
        this.session = session;
        this.connections = connections;
        this.loop = loop;
        remote = session.getRemoteAddress();
    }

    boolean isIdentified() {
        return peer.isIdentified();
    }

    long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - acceptedNanos);
    }

    @Override
    public void connected(IOSession sameSession) {
        session.setSocketTimeout(Timeout.ofMilliseconds(CROWDED_IDENTIFY_TIMEOUT_MS));
        if (!connections.admit(this)) {
            close(CloseReason.CONNECTION_LIMIT, "");
        }
    }

    @Override
    public void inputReady(IOSession sameSession, ByteBuffer unused) throws IOException {
        ByteBuffer chunk = connections.emptyReadChunk();
        if (session.read(chunk) < 0) {
            close(CloseReason.PEER_CLOSED, "");
            return;
        }
        inputLock.lock();
        try {
            if (closure.get() == null) {
                codec.feed(chunk.flip());
                acceptMessages();
            }
        } catch (MalformedStreamException malformed) {
            close(malformed.reason(), malformed.getMessage());
        } catch (PeerMemory.ExceededException exceeded) {
            close(CloseReason.OVERLOAD, exceeded.getMessage());
        } finally {
            inputLock.unlock();
        }
        closeIfIdentificationTimedOut();
    }

    @Override
    public void closeToFreeMemory() {
        close(CloseReason.OVERLOAD, "holds most of the memory that all peers may hold");
        sendBuffer.clear();
        // A codec that is in use, by this thread or another, is dropped by its user.
        if (!inputLock.isHeldByCurrentThread() && inputLock.tryLock()) {
            try {
                codec.discard();
            } finally {
                inputLock.unlock();
            }
        }
    }

    private void acceptMessages() throws MalformedStreamException {
        while (closure.get() == null && codec.next()) {
            if (!acceptMessage()) {
                // The memory held for all peers is the other limit that closes with this reason.
                close(CloseReason.OVERLOAD, pendingMessages + " messages queued for the planner");
            }
        }
    }

    /**
     * Accepts one message. An invalid message closes the connection of an unidentified peer. For an
     * identified peer only that message is dropped, since the others may be valid.
     *
     * @return false if the queue is full and this peer has used its quota
     */
    private boolean acceptMessage() {
        try {
            codec.requireFieldPairs();
            return dispatch();
        } catch (InvalidMessageException invalid) {
            if (!peer.isIdentified()) {
                close(invalid.reason(), invalid.getMessage());
            } else if (droppedMessages++ == 0) {
                connections.closeLog().dropped(peer, invalid);
            }
            return true;
        }
    }

    private boolean dispatch() throws InvalidMessageException {
        MessageValidator validator = connections.validator();
        return switch (codec.kind()) {
            case RespCodec.PING -> {
                send(PONG, MAX_UNSENT_PONG_BYTES);
                yield true;
            }
            case RespCodec.COLLECTOR -> {
                CollectorHello hello = CollectorHello.decode(codec, peer, validator);
                identify(PeerIdentity.collector(hello.zone()));
                yield true;
            }
            case RespCodec.JOINED -> join(ProxyJoin.decode(codec, peer, validator));
            case RespCodec.LOAD_REPORT ->
                    loop.offer(
                            pendingMessages,
                            memory,
                            new PlannerEvent.LoadReported(
                                    LoadReport.decode(codec, peer, validator)));
            case RespCodec.USAGE ->
                    loop.offer(
                            pendingMessages,
                            memory,
                            new PlannerEvent.UsageReported(
                                    UsageReport.decode(codec, peer, validator)));
            case RespCodec.APPLIED ->
                    loop.offer(
                            pendingMessages,
                            memory,
                            new PlannerEvent.Acknowledged(
                                    ProxyAcknowledgement.decode(codec, peer, validator), this));
            default ->
                    throw new InvalidMessageException(
                            CloseReason.UNKNOWN_KIND, "'" + codec.kind() + "'");
        };
    }

    /** Joins a proxy. Its previous connection is closed only after this one is accepted. */
    private boolean join(ProxyJoin join) {
        boolean accepted =
                loop.offer(pendingMessages, memory, new PlannerEvent.ProxyJoined(join, this));
        if (accepted) {
            identify(PeerIdentity.proxy(join.proxyNumber()));
        }
        return accepted;
    }

    private void identify(PeerIdentity identity) {
        peer = identity;
        session.setSocketTimeout(Timeout.DISABLED);
        connections.identified(identity, this);
    }

    @Override
    public void timeout(IOSession sameSession, Timeout limit) {
        closeIfIdentificationTimedOut();
    }

    /**
     * Closes the connection if the peer has not identified itself in time, whatever else it has
     * sent, such as pings. An identified peer may be silent for any time.
     */
    private void closeIfIdentificationTimedOut() {
        if (!peer.isIdentified() && ageMillis() > IDENTIFY_TIMEOUT_MS) {
            close(CloseReason.IDENTIFY_TIMEOUT, "");
        }
    }

    /** Called by the event loop's thread. The reactor's thread writes. */
    @Override
    public void send(byte[] message) {
        send(message, MAX_UNSENT_BYTES);
    }

    /**
     * Queues a message. No message stays in the buffer if the connection is closed concurrently: if
     * the message is added after the close, this method clears the buffer, otherwise {@link
     * #disconnected} does.
     */
    private void send(byte[] message, int limitBytes) {
        if (!sendBuffer.offer(message, limitBytes)) {
            // Or the memory of all peers is used up; then this one was closed for that before.
            close(CloseReason.SEND_BUFFER_FULL, "over " + limitBytes + " bytes unsent");
            return;
        }
        if (closure.get() != null) {
            sendBuffer.clear();
            return;
        }
        try {
            session.setEvent(SelectionKey.OP_WRITE);
        } catch (CancelledKeyException closing) {
            // The selector has cancelled the connection's key and is about to report its end.
            sendBuffer.clear();
        }
    }

    @Override
    public void outputReady(IOSession sameSession) throws IOException {
        sendBuffer.writeTo(session);
    }

    /** Closes the connection. Only the first call has an effect. */
    void close(CloseReason reason, String detail) {
        Closure closing = new Closure(reason, ConnectionCloseLog.printable(detail));
        if (closure.compareAndSet(null, closing)) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void exception(IOSession sameSession, Exception failure) {
        if (failure instanceof IOException) {
            close(CloseReason.RESET, String.valueOf(failure.getMessage()));
        } else {
            connections.closeLog().failed(peer, failure);
            close(CloseReason.FAILURE, failure.toString());
        }
    }

    @Override
    public void disconnected(IOSession sameSession) {
        closure.compareAndSet(null, new Closure(CloseReason.SHUTDOWN, ""));
        connections.remove(peer, this);
        sendBuffer.clear();
        memory.close();
        if (peer.isProxy()) {
            loop.submit(new PlannerEvent.ProxyLeft(peer.proxyNumber(), this));
        }
        Closure closed = closure.get();
        connections
                .closeLog()
                .closed(peer, remote, closed.reason(), closed.detail(), droppedMessages);
    }
}
