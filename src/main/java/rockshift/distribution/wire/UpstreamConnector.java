package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Subscriber;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * A subscriber's connection to one upstream at a time: it dials, turns messages into frames and
 * back, and reports nothing of a connection that was given up. Where to dial, and when, decides the
 * subscriber.
 *
 * <p>Events come on the reactor's threads and are handed to the owner's steps, one at a time; all
 * fields that change belong to these steps.
 */
final class UpstreamConnector implements Subscriber.Transport {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnector.class);

    /** Bytes that may wait to be sent upstream: some thousand acknowledgements. */
    private static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final int NOT_DIALLED = -1;

    /** The subscriber's owner, which has one step run at a time. */
    interface Owner {
        /** Runs a step of the subscriber. */
        void execute(Runnable step);

        /** The connection is up. */
        void connected();

        /** A message came. */
        void received(DistributionMessage message);

        /** A message came that can't be decoded. */
        void undecodable(RejectionReason reason, String detail);

        /** The connection, or the attempt at one, has ended. */
        void disconnected();
    }

    private final DistributionReactor reactor;
    private final List<InetSocketAddress> upstreams;
    private final Owner owner;
    private Attempt current;
    private int upstream = NOT_DIALLED;

    UpstreamConnector(DistributionReactor reactor, List<InetSocketAddress> upstreams, Owner owner) {
        this.reactor = reactor;
        this.upstreams = List.copyOf(upstreams);
        this.owner = owner;
    }

    /** Dials an upstream. The name is looked up anew each time. */
    @Override
    public void connect(int number) {
        InetSocketAddress address = upstreams.get(number);
        upstream = number;
        Attempt attempt = new Attempt(address);
        current = attempt;
        reactor.dial(
                new InetSocketAddress(address.getHostString(), address.getPort()),
                (session, readBuffer) ->
                        new DistributionConnection(session, readBuffer, MAX_UNSENT_BYTES, attempt),
                attempt::failed);
    }

    /** Gives up the connection, or the attempt at one. */
    @Override
    public void disconnect(RejectionReason reason, String detail) {
        if (current != null) {
            current.giveUp(reason, detail);
            current = null;
        }
    }

    /** Sends a message; where too much waits already the connection ends. */
    @Override
    public void send(DistributionMessage message) {
        if (current == null || current.connection == null) {
            return;
        }
        FramedConnection connection = current.connection;
        try {
            if (!connection.send(Frames.WATCH, DistributionCodec.write(message))) {
                connection.end("not-reading", "too much waits to be read");
            }
        } catch (IOException impossible) {
            LOG.error("message not encodable peer={}", connection.from(), impossible);
            connection.end("failure", String.valueOf(impossible.getMessage()));
        }
    }

    /** Ends the connection for good. */
    void close() {
        if (current != null && current.connection != null) {
            current.connection.endWhenSent("stopping", "");
        }
        current = null;
    }

    /** The upstream dialled last, by its index in the list; -1 before the first. */
    int upstream() {
        return upstream;
    }

    /** One dial, and the connection that came of it. */
    private final class Attempt implements DistributionConnection.Handler {
        private final InetSocketAddress address;
        private FramedConnection connection;
        private RejectionReason abandonReason;
        private String abandonDetail = "";

        Attempt(InetSocketAddress address) {
            this.address = address;
        }

        void giveUp(RejectionReason reason, String detail) {
            abandonReason = reason;
            abandonDetail = detail;
            if (connection != null) {
                connection.endWhenSent(reason.code(), detail);
            }
        }

        /** The dial failed. Never handled within a step: a dial may fail as it is begun. */
        void failed(String why) {
            reactor.execute(() -> executeIfCurrent(() -> unreachable(why)));
        }

        @Override
        public void opened(FramedConnection opened) {
            owner.execute(
                    () -> {
                        connection = opened;
                        if (current == this) {
                            owner.connected();
                        } else {
                            String code = abandonReason == null ? "stopping" : abandonReason.code();
                            opened.endWhenSent(code, abandonDetail);
                        }
                    });
        }

        @Override
        public void received(FramedConnection same, byte[] payload) {
            try {
                DistributionMessage message = DistributionCodec.read(payload);
                executeIfCurrent(() -> owner.received(message));
            } catch (IOException malformed) {
                String detail = malformed.getMessage();
                executeIfCurrent(() -> owner.undecodable(RejectionReason.MALFORMED, detail));
            }
        }

        @Override
        public void ended(FramedConnection same) {
            String code = same.reason() == null ? "stopping" : same.reason();
            reactor.upstreamLog().ended(address, code, same.about());
            executeIfCurrent(this::disconnected);
        }

        private void unreachable(String why) {
            reactor.upstreamLog().ended(address, RejectionReason.UNREACHABLE.code(), why);
            disconnected();
        }

        private void disconnected() {
            current = null;
            owner.disconnected();
        }

        /** Runs a step of the owner unless this attempt was given up meanwhile. */
        private void executeIfCurrent(Runnable step) {
            owner.execute(
                    () -> {
                        if (current == this) {
                            step.run();
                        }
                    });
        }
    }
}
