package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.RejectionReason;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * A subscriber's connection to one upstream at a time: it dials, turns messages into frames and
 * back, and tells of nothing that belongs to a connection which was given up. Where to dial, and
 * when, decides the subscriber.
 */
final class UpstreamConnector {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnector.class);

    /** Bytes that may wait to be sent upstream: some thousand acknowledgements. */
    private static final int MOST_UNSENT = 256 << 10;

    /** The subscriber's owner, which has one step run at a time. */
    interface Owner {
        /** Runs a step of the subscriber. */
        void execute(Runnable step);

        void connected();

        void received(DistributionMessage message);

        void undecodable(RejectionReason reason, String place);

        void disconnected();
    }

    private final DistributionReactor reactor;
    private final List<InetSocketAddress> upstreams;
    private final Owner owner;
    // Used within the owner's steps alone.
    private Attempt current;
    private int upstream = -1;

    UpstreamConnector(DistributionReactor reactor, List<InetSocketAddress> upstreams, Owner owner) {
        this.reactor = reactor;
        this.upstreams = List.copyOf(upstreams);
        this.owner = owner;
    }

    /** One dial, and the connection that came of it. */
    private final class Attempt {
        private final InetSocketAddress address;
        private UpstreamConnection connection;
        private RejectionReason givenUp;
        private String place = "";

        Attempt(InetSocketAddress address) {
            this.address = address;
        }

        /** Runs a step of the owner unless this attempt was given up meanwhile. */
        void step(Runnable step) {
            owner.execute(
                    () -> {
                        if (current == this) {
                            step.run();
                        }
                    });
        }

        void failed(String why) {
            // Never from within a step: a dial may fail as it is begun.
            reactor.execute(
                    () ->
                            step(
                                    () -> {
                                        reactor.upstreamLog()
                                                .ended(
                                                        address,
                                                        RejectionReason.UNREACHABLE.code(),
                                                        why);
                                        current = null;
                                        owner.disconnected();
                                    }));
        }

        void opened(UpstreamConnection opened) {
            owner.execute(
                    () -> {
                        connection = opened;
                        if (current == this) {
                            owner.connected();
                        } else {
                            opened.endWhenSent(
                                    givenUp == null ? "stopping" : givenUp.code(), place);
                        }
                    });
        }

        void giveUp(RejectionReason why, String where) {
            givenUp = why;
            place = where;
            if (connection != null) {
                connection.endWhenSent(why.code(), where);
            }
        }
    }

    /** The connection of an attempt. */
    private final class UpstreamConnection extends FramedConnection {
        private final Attempt attempt;

        UpstreamConnection(IOSession session, ByteBuffer readBuffer, Attempt attempt) {
            super(session, readBuffer, MOST_UNSENT);
            this.attempt = attempt;
        }

        @Override
        public void connected(IOSession same) {
            session().setSocketTimeout(Timeout.DISABLED);
            attempt.opened(this);
        }

        @Override
        protected void take(Frames.Frame frame) throws IOException {
            if (frame.kind() != Frames.WATCH) {
                throw new Frames.Broken("unexpected", "a frame of kind " + frame.kind());
            }
            try {
                DistributionMessage message = DistributionCodec.read(frame.payload());
                attempt.step(() -> owner.received(message));
            } catch (IOException malformed) {
                attempt.step(
                        () -> owner.undecodable(RejectionReason.MALFORMED, malformed.getMessage()));
            }
        }

        @Override
        protected void quiet() {
            end(RejectionReason.SILENT.code(), "");
        }

        @Override
        protected void failed(Exception failure) {
            LOG.error("failure on an upstream connection", failure);
        }

        @Override
        protected void ended() {
            reactor.upstreamLog()
                    .ended(attempt.address, reason() == null ? "stopping" : reason(), about());
            attempt.step(
                    () -> {
                        current = null;
                        owner.disconnected();
                    });
        }
    }

    /** Dials an upstream. The name is looked up anew each time. */
    void connect(int number) {
        InetSocketAddress told = upstreams.get(number);
        upstream = number;
        Attempt attempt = new Attempt(told);
        current = attempt;
        reactor.dial(
                new InetSocketAddress(told.getHostString(), told.getPort()),
                (session, readBuffer) -> new UpstreamConnection(session, readBuffer, attempt),
                attempt::failed);
    }

    /** Gives up the connection, or the attempt at one. */
    void disconnect(RejectionReason why, String place) {
        if (current != null) {
            current.giveUp(why, place);
            current = null;
        }
    }

    /** Sends a message; where too much waits already the connection ends. */
    void send(DistributionMessage message) {
        if (current == null || current.connection == null) {
            return;
        }
        try {
            if (!current.connection.send(Frames.WATCH, DistributionCodec.write(message))) {
                current.connection.end("not-reading", "too much waits to be read");
            }
        } catch (IOException impossible) {
            LOG.error("a message that can't be written", impossible);
            current.connection.end("failure", String.valueOf(impossible.getMessage()));
        }
    }

    /** Ends the connection for good. */
    void close() {
        if (current != null && current.connection != null) {
            current.connection.endWhenSent("stopping", "");
        }
        current = null;
    }

    /** The upstream dialled last, by its place in the list; -1 before the first. */
    int upstream() {
        return upstream;
    }
}
