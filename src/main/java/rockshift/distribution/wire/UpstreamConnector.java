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
 * A subscriber's connection to one upstream at a time. It connects, converts between messages and
 * frames, and reports no events of a connection that was abandoned. The subscriber decides where
 * and when to connect.
 *
 * <p>Events arrive on the reactor's threads and are passed to the owner's steps, which run one at a
 * time. All mutable fields are accessed only in these steps.
 */
final class UpstreamConnector implements Subscriber.Transport {
    private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnector.class);

    /** Bytes that may be queued for the upstream; enough for some thousand acknowledgements. */
    private static final int MAX_UNSENT_BYTES = 256 << 10;

    private static final int NOT_CONNECTED = -1;

    /** The owner of the subscriber, which runs its steps one at a time. */
    interface Owner {
        /** Runs a step of the subscriber. */
        void execute(Runnable step);

        /** Called when the connection is established. */
        void connected();

        /** Called with each message received. */
        void received(DistributionMessage message);

        /** Called when a message cannot be decoded. */
        void undecodable(RejectionReason reason, String detail);

        /** Called when the connection has ended or the attempt has failed. */
        void disconnected();
    }

    private final DistributionReactor reactor;
    private final List<InetSocketAddress> upstreams;
    private final Owner owner;
    private Attempt current;
    private int upstream = NOT_CONNECTED;

    UpstreamConnector(DistributionReactor reactor, List<InetSocketAddress> upstreams, Owner owner) {
        this.reactor = reactor;
        this.upstreams = List.copyOf(upstreams);
        this.owner = owner;
    }

    /** Connects to an upstream. Its host name is resolved anew each time. */
    @Override
    public void connect(int number) {
        InetSocketAddress address = upstreams.get(number);
        upstream = number;
        Attempt attempt = new Attempt(address);
        current = attempt;
        reactor.connect(
                new InetSocketAddress(address.getHostString(), address.getPort()),
                (session, readBuffer) ->
                        new DistributionConnection(
                                session, readBuffer, MAX_UNSENT_BYTES, true, attempt),
                attempt::failed);
    }

    /** Abandons the connection or the connection attempt. */
    @Override
    public void disconnect(RejectionReason reason, String detail) {
        if (current != null) {
            current.abandon(reason, detail);
            current = null;
        }
    }

    /** Sends a message, or ends the connection if too much is queued already. */
    @Override
    public void send(DistributionMessage message) {
        if (current == null || current.connection == null) {
            return;
        }
        FramedConnection connection = current.connection;
        try {
            if (!connection.send(Frames.WATCH, DistributionCodec.write(message))) {
                connection.close("not-reading", "unsent messages exceed the send buffer limit");
            }
        } catch (IOException unexpected) {
            LOG.error("message not encodable peer={}", connection.peerAddress(), unexpected);
            connection.close("failure", String.valueOf(unexpected.getMessage()));
        }
    }

    /** Closes the connection permanently. */
    void close() {
        if (current != null && current.connection != null) {
            current.connection.closeAfterFlush("stopping", "");
        }
        current = null;
    }

    /**
     * Returns the index of the upstream connected to last; -1 before the first connection attempt.
     */
    int upstream() {
        return upstream;
    }

    /** A connection attempt, and the connection that results from it. */
    private final class Attempt implements DistributionConnection.Handler {
        private final InetSocketAddress address;
        private FramedConnection connection;
        private RejectionReason abandonReason;
        private String abandonDetail = "";

        Attempt(InetSocketAddress address) {
            this.address = address;
        }

        void abandon(RejectionReason reason, String detail) {
            abandonReason = reason;
            abandonDetail = detail;
            if (connection != null) {
                connection.closeAfterFlush(reason.code(), detail);
            }
        }

        /**
         * Handles a failed attempt. Runs as a separate task, because an attempt may fail while it
         * is being started, within a step.
         */
        void failed(String message) {
            reactor.execute(() -> executeIfCurrent(() -> unreachable(message)));
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
                            opened.closeAfterFlush(code, abandonDetail);
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
            reactor.upstreamLog().connectionClosed(address, code, same.reasonDetail());
            executeIfCurrent(this::disconnected);
        }

        private void unreachable(String message) {
            reactor.upstreamLog()
                    .connectionClosed(address, RejectionReason.UNREACHABLE.code(), message);
            disconnected();
        }

        private void disconnected() {
            current = null;
            owner.disconnected();
        }

        /** Runs a step of the owner unless this attempt has been abandoned. */
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
