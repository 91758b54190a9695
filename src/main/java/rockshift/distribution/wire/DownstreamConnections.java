package rockshift.distribution.wire;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.Publisher;
import rockshift.distribution.RejectionReason;
import rockshift.wire.ConnectionLog;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * The connections of a publisher's subscribers: it numbers them, turns frames into messages and
 * back, and bounds what waits on the way in and out. Whom to take and what to send decides the
 * publisher.
 */
public final class DownstreamConnections implements Publisher.Effects {
    private static final Logger LOG = LoggerFactory.getLogger(DownstreamConnections.class);

    /** Connections beyond those that the publisher serves: they are told that it is busy. */
    private static final int TO_BE_REFUSED = 64;

    /** Messages of one subscriber, and of all, that may wait for the publisher. */
    private static final int MOST_WAITING_OF_ONE = 128;

    private static final int MOST_WAITING = 20_000;

    /**
     * The publisher's owner, which hands events on in the order in which they came, on whatever
     * thread it likes.
     */
    public interface Owner {
        /** Runs a step of the publisher, now or later. */
        void execute(Runnable step);

        void connected(long connection);

        void received(long connection, DistributionMessage message);

        void undecodable(long connection, RejectionReason reason, String place);

        void disconnected(long connection);
    }

    /** One subscriber's connection. */
    private record Peer(long number, FramedConnection connection, AtomicInteger waiting) {}

    private final int served;
    private final Owner owner;
    private final ConnectionLog log = new ConnectionLog(LOG, "subscriber");
    private final AtomicLong numbers = new AtomicLong();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Map<FramedConnection, Peer> byConnection = new ConcurrentHashMap<>();
    private final Map<Long, Peer> byNumber = new ConcurrentHashMap<>();

    /**
     * @param served connections that the publisher serves at most
     */
    public DownstreamConnections(int served, Owner owner) {
        this.served = served;
        this.owner = owner;
    }

    /** Connections that may be open at a time, those that are told to come again included. */
    public int most() {
        return served + TO_BE_REFUSED;
    }

    /** A connection of a subscriber came up; ends it where there are too many. */
    public void opened(FramedConnection connection) {
        if (byConnection.size() >= most()) {
            connection.end("crowded", "");
            return;
        }
        Peer peer = new Peer(numbers.incrementAndGet(), connection, new AtomicInteger());
        byConnection.put(connection, peer);
        byNumber.put(peer.number, peer);
        owner.execute(() -> owner.connected(peer.number));
    }

    /** A frame's payload came. */
    public void received(FramedConnection connection, byte[] payload) {
        Peer peer = byConnection.get(connection);
        if (peer == null) {
            return;
        }
        try {
            DistributionMessage message = DistributionCodec.read(payload);
            queue(peer, () -> owner.received(peer.number, message));
        } catch (IOException malformed) {
            queue(
                    peer,
                    () ->
                            owner.undecodable(
                                    peer.number,
                                    RejectionReason.MALFORMED,
                                    malformed.getMessage()));
        }
    }

    private void queue(Peer peer, Runnable step) {
        if (peer.waiting.get() >= MOST_WAITING_OF_ONE || waiting.get() >= MOST_WAITING) {
            peer.connection.end("flood", peer.waiting + " messages wait, " + waiting + " of all");
            return;
        }
        peer.waiting.incrementAndGet();
        waiting.incrementAndGet();
        owner.execute(
                () -> {
                    peer.waiting.decrementAndGet();
                    waiting.decrementAndGet();
                    step.run();
                });
    }

    /** A connection has ended, whether it had become a subscriber's or not. */
    public void ended(FramedConnection connection) {
        String code = connection.reason() == null ? "stopping" : connection.reason();
        log.ended(connection.from(), code, connection.about());
        Peer peer = byConnection.remove(connection);
        if (peer != null && byNumber.remove(peer.number) != null) {
            owner.execute(() -> owner.disconnected(peer.number));
        }
    }

    @Override
    public void send(long number, DistributionMessage message) {
        Peer peer = byNumber.get(number);
        if (peer == null) {
            return;
        }
        try {
            if (peer.connection.stalled()) {
                peer.connection.end("not-reading", "nothing was read for too long");
            } else if (!peer.connection.send(Frames.WATCH, DistributionCodec.write(message))) {
                peer.connection.end("not-reading", "too much waits to be read");
            }
        } catch (IOException impossible) {
            LOG.error("a message that can't be written", impossible);
            peer.connection.end("failure", String.valueOf(impossible.getMessage()));
        }
    }

    @Override
    public void close(long number, RejectionReason why, String place) {
        Peer peer = byNumber.remove(number);
        if (peer != null) {
            peer.connection.endWhenSent(why.code(), place);
        }
    }

    /** Connections ended since the start, by reason. */
    public Map<String, Long> endings() {
        return log.totals();
    }
}
