package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Relay;
import rockshift.distribution.Revision;
import rockshift.distribution.Summary;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;

/**
 * A relay on sockets: it subscribes upstream and serves subscribers of its own. Each decision is
 * the {@link Relay}'s; its steps run one at a time, on the threads of the reactor.
 */
public final class RelayProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);

    /** Bytes that may wait for one subscriber: all that it need not have acknowledged. */
    private static final int MOST_UNSENT = 4 << 20;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DistributionSettings settings;
    private final DistributionReactor reactor;
    private final UpstreamConnector upstream;
    private final DownstreamConnections downstream;
    private final Relay relay;
    private final StalenessMonitor cutOff;
    private final Runnable tick = this::tick;
    private boolean closed;
    private int port;

    /** A relay that holds nothing; {@link #start} has it begin. */
    public RelayProcess(
            DistributionSettings settings, DistributionReactor reactor, RandomGenerator random) {
        this.settings = settings;
        this.reactor = reactor;
        upstream =
                new UpstreamConnector(
                        reactor, List.copyOf(settings.upstreams().values()), new UpstreamOwner());
        downstream =
                new DownstreamConnections(settings.relay().subscribers(), new DownstreamOwner());
        relay =
                new Relay(
                        settings.name(),
                        settings.scope(),
                        settings.upstreams().size(),
                        settings.limits(),
                        random,
                        new Effects());
        cutOff =
                new StalenessMonitor(
                        settings.limits().timing().staleThresholdMillis(),
                        now(),
                        age ->
                                LOG.warn(
                                        "relay {} is cut off: what it holds, revision {}, is {} ms"
                                                + " old",
                                        settings.name(),
                                        revision(),
                                        age),
                        after ->
                                LOG.info(
                                        "relay {} is up to date again after {} ms, revision {}",
                                        settings.name(),
                                        after,
                                        revision()));
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Listens, and begins to connect upstream. */
    public void start() throws IOException, InterruptedException {
        InetSocketAddress listen = settings.relay().listen();
        port = reactor.listen(listen, DownstreamConnection::new);
        reactor.tick(tick);
        LOG.info(
                "relay {} listens on {}, port {}, upstreams {}",
                settings.name(),
                listen.getHostString(),
                port,
                settings.upstreams().keySet());
    }

    public int port() {
        return port;
    }

    /** What it holds. */
    public synchronized Revision revision() {
        return relay.store().current();
    }

    /** What is in force below it. */
    public synchronized Summary summary() {
        return relay.publisher().summary();
    }

    /** Connections of subscribers. */
    public synchronized int connections() {
        return relay.publisher().connections();
    }

    /** Subscribers' connections that ended since the start, by reason. */
    public Map<String, Long> endings() {
        return downstream.endings();
    }

    private synchronized void tick() {
        if (!closed) {
            relay.tick(now());
            cutOff.look(relay.subscriber().freshAtMillis(), now());
        }
    }

    private synchronized void step(Runnable step) {
        if (!closed) {
            step.run();
        }
    }

    /** Takes part no more; the reactor's owner ends the connections. */
    @Override
    public synchronized void close() {
        closed = true;
        reactor.stopTicking(tick);
        upstream.close();
    }

    /** A subscriber's connection. */
    private final class DownstreamConnection extends FramedConnection {
        DownstreamConnection(IOSession session, ByteBuffer readBuffer) {
            super(session, readBuffer, MOST_UNSENT);
        }

        @Override
        public void connected(IOSession same) {
            session().setSocketTimeout(Timeout.DISABLED);
            downstream.opened(this);
        }

        @Override
        protected void take(Frames.Frame frame) throws IOException {
            if (frame.kind() != Frames.WATCH) {
                throw new Frames.Broken("unexpected", "a frame of kind " + frame.kind());
            }
            downstream.received(this, frame.payload());
        }

        @Override
        protected void quiet() {
            end(RejectionReason.SILENT.code(), "");
        }

        @Override
        protected void failed(Exception failure) {
            LOG.error("failure on a subscriber's connection", failure);
        }

        @Override
        protected void ended() {
            downstream.ended(this);
        }
    }

    /** Hands the events of subscribers' connections to the relay. */
    private final class DownstreamOwner implements DownstreamConnections.Owner {
        @Override
        public void execute(Runnable step) {
            step(step);
        }

        @Override
        public void connected(long connection) {
            relay.connected(connection, now());
        }

        @Override
        public void received(long connection, DistributionMessage message) {
            relay.received(connection, message, now());
        }

        @Override
        public void undecodable(long connection, RejectionReason reason, String place) {
            relay.undecodable(connection, reason, place, now());
        }

        @Override
        public void disconnected(long connection) {
            relay.disconnected(connection, now());
        }
    }

    /** Hands the events of the connection upstream to the relay. */
    private final class UpstreamOwner implements UpstreamConnector.Owner {
        @Override
        public void execute(Runnable step) {
            step(step);
        }

        @Override
        public void connected() {
            relay.upstreamConnected(now());
        }

        @Override
        public void received(DistributionMessage message) {
            relay.upstreamReceived(message, now());
        }

        @Override
        public void undecodable(RejectionReason reason, String place) {
            relay.upstreamUndecodable(reason, place, now());
        }

        @Override
        public void disconnected() {
            relay.upstreamDisconnected(now());
        }
    }

    /** Carries out what the relay decides. */
    private final class Effects implements Relay.Effects {
        @Override
        public void connect(int number) {
            upstream.connect(number);
        }

        @Override
        public void disconnect(RejectionReason why, String place) {
            upstream.disconnect(why, place);
        }

        @Override
        public void send(DistributionMessage message) {
            upstream.send(message);
        }

        @Override
        public void notice(RejectionReason reason, String place) {
            LOG.warn("upstream of relay {}: {} {}", settings.name(), reason.code(), place);
        }

        @Override
        public void send(long connection, DistributionMessage message) {
            downstream.send(connection, message);
        }

        @Override
        public void close(long connection, RejectionReason why, String place) {
            downstream.close(connection, why, place);
        }
    }
}
