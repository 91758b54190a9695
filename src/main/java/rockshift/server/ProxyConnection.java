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
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * One connection: its bytes become messages, its messages become events of the planner, and what
 * the planner sends is written back. Nothing that a peer does costs more than its own connection.
 *
 * <p>The reactor's thread owns it. {@link #send} and, through it, the closing of the connection are
 * also called by the event loop's thread; the fields that these share are atomic or concurrent.
 */
final class ProxyConnection implements IOEventHandler, ProxyChannel {
    /** How long a peer may take to identify itself; the protocol has it done within 3 s. */
    static final int IDENTIFY_TIMEOUT_MS = 1_500;

    /**
     * The same where connections run short: peers speak as they connect. It is also how often a
     * silent connection is looked at.
     */
    static final int CROWDED_IDENTIFY_TIMEOUT_MS = 300;

    /** Bytes that may be unsent when a further message comes: the protocol's figure. */
    private static final int MAX_UNSENT_BYTES = 128 << 10;

    /** The same for answers to pings, of which a peer can cause as many as it likes. */
    private static final int MAX_UNSENT_PONG_BYTES = 2 << 10;

    private static final byte[] PONG = RespCodec.message(List.of(RespCodec.PONG));

    private record Closure(CloseReason reason, String detail) {}

    private final IOSession session;
    private final SocketAddress remote;
    private final ProxyConnections connections;
    private final EventLoop loop;
    private final long acceptedNanos = System.nanoTime();
    private final RespCodec codec = new RespCodec();
    private final SendBuffer sendBuffer = new SendBuffer();

    /** Messages of this peer that the event loop has not taken in yet. */
    private final AtomicInteger pendingMessages = new AtomicInteger();

    /** Set once, by whichever thread closes the connection first; null while it is open. */
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
    public void connected(IOSession same) {
        session.setSocketTimeout(Timeout.ofMilliseconds(CROWDED_IDENTIFY_TIMEOUT_MS));
        if (!connections.admit(this)) {
            close(CloseReason.CONNECTION_LIMIT, "");
        }
    }

    @Override
    public void inputReady(IOSession same, ByteBuffer unused) throws IOException {
        ByteBuffer chunk = connections.emptyReadChunk();
        if (session.read(chunk) < 0) {
            close(CloseReason.PEER_CLOSED, "");
            return;
        }
        PartialMessageBudget partialMessages = connections.partialMessages();
        partialMessages.release(codec.excessBytes());
        try {
            codec.feed(chunk.flip());
            acceptMessages();
        } catch (MalformedStreamException malformed) {
            close(malformed.reason(), malformed.getMessage());
        } finally {
            partialMessages.reserve(codec.excessBytes());
        }
        closeIfIdentificationTimedOut();
        if (partialMessages.isExceeded() && codec.excessBytes() > 0) {
            // The other bound that is labelled so is that of the planner's queue.
            close(CloseReason.OVERLOAD, "too many partial messages");
        }
    }

    private void acceptMessages() throws MalformedStreamException {
        while (closure.get() == null && codec.next()) {
            if (!acceptMessage()) {
                // The other bound that is labelled so is that of partial messages.
                close(CloseReason.OVERLOAD, pendingMessages + " messages wait for the planner");
            }
        }
    }

    /**
     * Takes in one message; false where too many of this peer wait already. An invalid message
     * closes an unidentified connection. An identified peer loses that message alone, since those
     * around it may be good.
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
                            new PlannerEvent.LoadReported(
                                    LoadReport.decode(codec, peer, validator)));
            case RespCodec.USAGE ->
                    loop.offer(
                            pendingMessages,
                            new PlannerEvent.UsageReported(
                                    UsageReport.decode(codec, peer, validator)));
            case RespCodec.APPLIED ->
                    loop.offer(
                            pendingMessages,
                            new PlannerEvent.Acknowledged(
                                    Applied.decode(codec, peer, validator), this));
            default ->
                    throw new InvalidMessageException(
                            CloseReason.UNKNOWN_KIND, "'" + codec.kind() + "'");
        };
    }

    /** Joins a proxy. Its previous connection is closed only once this one is accepted. */
    private boolean join(ProxyJoin join) {
        boolean accepted = loop.offer(pendingMessages, new PlannerEvent.ProxyJoined(join, this));
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
    public void timeout(IOSession same, Timeout limit) {
        closeIfIdentificationTimedOut();
    }

    /**
     * The time to identify runs whatever the peer sends meanwhile, such as pings. An identified
     * peer may be silent for any time.
     */
    private void closeIfIdentificationTimedOut() {
        if (!peer.isIdentified() && ageMillis() > IDENTIFY_TIMEOUT_MS) {
            close(CloseReason.IDENTIFY_TIMEOUT, "");
        }
    }

    /** Called by the event loop's thread; the reactor's thread writes. */
    @Override
    public void send(byte[] message) {
        send(message, MAX_UNSENT_BYTES);
    }

    /**
     * Queues a message. A connection that closes meanwhile leaves nothing behind: whichever of the
     * message's addition and the closure comes second, one of the two sees the other and clears.
     */
    private void send(byte[] message, int limitBytes) {
        if (!sendBuffer.offer(message, limitBytes)) {
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
            // The selector has let go of the connection and is about to report its end.
            sendBuffer.clear();
        }
    }

    @Override
    public void outputReady(IOSession same) throws IOException {
        sendBuffer.writeTo(session);
    }

    /** Closes the connection; only the first reason counts. */
    void close(CloseReason reason, String detail) {
        Closure closing = new Closure(reason, ConnectionCloseLog.printable(detail));
        if (closure.compareAndSet(null, closing)) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void exception(IOSession same, Exception failure) {
        if (failure instanceof IOException) {
            close(CloseReason.RESET, String.valueOf(failure.getMessage()));
        } else {
            connections.closeLog().failed(peer, failure);
            close(CloseReason.FAILURE, failure.toString());
        }
    }

    @Override
    public void disconnected(IOSession same) {
        closure.compareAndSet(null, new Closure(CloseReason.SHUTDOWN, ""));
        connections.remove(peer, this);
        connections.partialMessages().release(codec.excessBytes());
        sendBuffer.clear();
        if (peer.isProxy()) {
            loop.submit(new PlannerEvent.ProxyLeft(peer.proxyNumber(), this));
        }
        Closure closed = closure.get();
        connections
                .closeLog()
                .closed(peer, remote, closed.reason(), closed.detail(), droppedMessages);
    }
}
