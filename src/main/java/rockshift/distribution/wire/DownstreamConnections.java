package rockshift.distribution.wire;

import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.Publisher;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Scope;
import rockshift.wire.ConnectionLog;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * The connections of a publisher's subscribers. It numbers them, converts between frames and
 * messages, and limits what is queued in each direction. Whom to accept and what to send is decided
 * by the publisher.
 *
 * <p>Thread-safe: connections call it on the reactor's thread, the publisher on its owner's thread.
 */
public final class DownstreamConnections
        implements Publisher.Transport, DistributionConnection.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(DownstreamConnections.class);

    /**
     * Connections accepted beyond those that the publisher serves, so that they can be rejected as
     * busy.
     */
    private static final int MAX_REJECTED_CONNECTIONS = 64;

    /** Messages of one subscriber that may be queued for the publisher. */
    private static final int MAX_QUEUED_PER_SUBSCRIBER = 128;

    /** Messages of all subscribers that may be queued for the publisher. */
    private static final int MAX_QUEUED = 20_000;

    /** What a name in a scope takes at the publisher and in its index, besides its characters. */
    private static final int SCOPE_NAME_BYTES = 256;

    /** A subscriber's connection, and what it has caused. */
    private record Peer(
            long number, FramedConnection connection, AtomicInteger queued, AtomicLong scopeBytes) {
        Peer(long number, FramedConnection connection) {
            this(number, connection, new AtomicInteger(), new AtomicLong());
        }

        /** Charges a scope that replaces the previous one; returns false if it must not. */
        boolean chargeScope(Scope scope) {
            long bytes = bytes(scope.services()) + bytes(scope.zones());
            if (!connection.memory().charge(bytes)) {
                return false;
            }
            connection.memory().release(scopeBytes.getAndSet(bytes));
            return true;
        }

        private static long bytes(Collection<String> names) {
            return names.stream().mapToLong(name -> SCOPE_NAME_BYTES + name.length()).sum();
        }
    }

    private final int maxServed;
    private final Executor steps;
    private final ConnectionLog log = new ConnectionLog(LOG, "subscriber");
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicInteger queued = new AtomicInteger();
    private final Map<FramedConnection, Peer> byConnection = new ConcurrentHashMap<>();
    private final Map<Long, Peer> byNumber = new ConcurrentHashMap<>();

    /** Set once, before the first connection is accepted; used only in the publisher's steps. */
    private Publisher publisher;

    /**
     * Creates an instance without connections or a publisher.
     *
     * @param maxServed the maximum number of connections that the publisher serves
     * @param steps runs the publisher's steps one at a time and in order, on any thread
     */
    public DownstreamConnections(int maxServed, Executor steps) {
        this.maxServed = maxServed;
        this.steps = steps;
    }

    /**
     * Sets the publisher that handles the events of connections. Must be called before the first
     * connection is accepted.
     */
    public void serve(Publisher served) {
        publisher = served;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Returns the maximum number of open connections, including those that are only rejected as
     * busy.
     */
    public int maxOpen() {
        return maxServed + MAX_REJECTED_CONNECTIONS;
    }

    /** Registers a new connection, or closes it if there are too many. */
    @Override
    public void opened(FramedConnection connection) {
        if (byConnection.size() >= maxOpen()) {
            connection.close("crowded", "");
            return;
        }
        Peer peer = new Peer(numbers.incrementAndGet(), connection);
        byConnection.put(connection, peer);
        byNumber.put(peer.number, peer);
        steps.execute(() -> publisher.connected(peer.number, nowMillis()));
    }

    /** Queues the message of a frame for the publisher. */
    @Override
    public void received(FramedConnection connection, byte[] payload) {
        Peer peer = byConnection.get(connection);
        if (peer == null) {
            return;
        }
        try {
            DistributionMessage message = DistributionCodec.read(payload);
            if (message instanceof DistributionMessage.Subscribe subscribe
                    && !peer.chargeScope(subscribe.scope())) {
                closeOverloaded(peer);
                return;
            }
            queue(
                    peer,
                    payload.length,
                    () -> publisher.received(peer.number, message, nowMillis()));
        } catch (IOException malformed) {
            String detail = malformed.getMessage();
            queue(
                    peer,
                    payload.length,
                    () ->
                            publisher.undecodable(
                                    peer.number, RejectionReason.MALFORMED, detail, nowMillis()));
        }
    }

    private void queue(Peer peer, int bytes, Runnable step) {
        if (peer.queued.get() >= MAX_QUEUED_PER_SUBSCRIBER || queued.get() >= MAX_QUEUED) {
            peer.connection.close(
                    "flood",
                    peer.queued
                            + " messages of this subscriber are queued, maximum is "
                            + MAX_QUEUED_PER_SUBSCRIBER
                            + "; "
                            + queued
                            + " in total, maximum is "
                            + MAX_QUEUED);
            return;
        }
        if (!peer.connection.memory().charge(bytes)) {
            closeOverloaded(peer);
            return;
        }
        peer.queued.incrementAndGet();
        queued.incrementAndGet();
        steps.execute(
                () -> {
                    peer.queued.decrementAndGet();
                    queued.decrementAndGet();
                    peer.connection.memory().release(bytes);
                    step.run();
                });
    }

    private static void closeOverloaded(Peer peer) {
        peer.connection.close("overload", "the memory for all peers is used up");
    }

    /** Removes a connection that has ended, registered or not. */
    @Override
    public void ended(FramedConnection connection) {
        String code = connection.reason() == null ? "stopping" : connection.reason();
        log.connectionClosed(connection.peerAddress(), code, connection.reasonDetail());
        Peer peer = byConnection.remove(connection);
        if (peer != null && byNumber.remove(peer.number) != null) {
            steps.execute(() -> publisher.disconnected(peer.number, nowMillis()));
        }
    }

    @Override
    public void send(long number, DistributionMessage message) {
        Peer peer = byNumber.get(number);
        if (peer == null) {
            return;
        }
        try {
            if (peer.connection.isStalled()) {
                peer.connection.close(
                        "not-reading", "unsent messages made no progress within the stall timeout");
            } else if (!peer.connection.send(Frames.WATCH, DistributionCodec.write(message))) {
                peer.connection.close(
                        "not-reading", "unsent messages exceed the send buffer limit");
            }
        } catch (IOException unexpected) {
            LOG.error("message not encodable peer={}", peer.connection.peerAddress(), unexpected);
            peer.connection.close("failure", String.valueOf(unexpected.getMessage()));
        }
    }

    @Override
    public void close(long number, RejectionReason reason, String detail) {
        Peer peer = byNumber.remove(number);
        if (peer != null) {
            peer.connection.closeAfterFlush(reason.code(), detail);
        }
    }

    /** Returns the number of connections closed since the start, by reason code. */
    public Map<String, Long> closedByReason() {
        return log.totals();
    }
}
