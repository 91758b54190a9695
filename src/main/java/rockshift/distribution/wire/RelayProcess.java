package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Relay;
import rockshift.distribution.Revision;
import rockshift.distribution.Summary;

/**
 * A relay on sockets: subscribes upstream and serves downstream subscribers. All decisions are made
 * by the {@link Relay}.
 *
 * <p>The relay's steps run one at a time under this object's monitor, on the reactor's threads.
 */
public final class RelayProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RelayProcess.class);

    /**
     * Bytes that may be queued for one subscriber; enough for everything that it need not have
     * acknowledged.
     */
    private static final int MAX_UNSENT_BYTES = 4 << 20;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DistributionSettings settings;
    private final DistributionReactor reactor;
    private final UpstreamConnector upstream;
    private final DownstreamConnections downstream;
    private final Relay relay;
    private final StalenessMonitor staleness;
    private final Runnable tick = this::tick;
    private boolean closed;
    private int port;

    /** Creates a relay without a state; {@link #start} starts it. */
    public RelayProcess(
            DistributionSettings settings, DistributionReactor reactor, RandomGenerator random) {
        this.settings = settings;
        this.reactor = reactor;
        upstream =
                new UpstreamConnector(
                        reactor, List.copyOf(settings.upstreams().values()), new UpstreamOwner());
        downstream = new DownstreamConnections(settings.relay().subscribers(), this::execute);
        relay =
                new Relay(
                        settings.name(),
                        settings.scope(),
                        settings.upstreams().size(),
                        settings.limits(),
                        random,
                        upstream,
                        downstream,
                        this::logNotice);
        downstream.serve(relay.publisher());
        staleness =
                new StalenessMonitor(
                        settings.limits().timing().staleThresholdMillis(),
                        nowMillis(),
                        this::logStale,
                        this::logFreshAgain);
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Starts listening and connecting upstream. */
    public void start() throws IOException, InterruptedException {
        InetSocketAddress listen = settings.relay().listen();
        port =
                reactor.listen(
                        listen,
                        (session, readBuffer) ->
                                new DistributionConnection(
                                        session, readBuffer, MAX_UNSENT_BYTES, false, downstream));
        reactor.addTickTask(tick);
        LOG.info(
                "relay listening name={} address={} port={} upstreams={}",
                settings.name(),
                listen.getHostString(),
                port,
                settings.upstreams().keySet());
    }

    /** Returns the port that it listens on; 0 before the start. */
    public int port() {
        return port;
    }

    /** Returns the revision of its state. */
    public synchronized Revision revision() {
        return relay.store().current();
    }

    /** Returns what is in force downstream. */
    public synchronized Summary summary() {
        return relay.publisher().summary();
    }

    /** Returns the number of open downstream connections. */
    public synchronized int connections() {
        return relay.publisher().connections();
    }

    /** Returns the number of downstream connections closed since the start, by reason code. */
    public Map<String, Long> closedByReason() {
        return downstream.closedByReason();
    }

    private synchronized void tick() {
        if (!closed) {
            relay.tick(nowMillis());
            staleness.check(relay.subscriber().freshAtMillis(), nowMillis());
        }
    }

    private synchronized void execute(Runnable step) {
        if (!closed) {
            step.run();
        }
    }

    /**
     * Stops the relay and closes its upstream connection. The downstream connections are closed by
     * the owner of the reactor.
     */
    @Override
    public synchronized void close() {
        closed = true;
        reactor.removeTickTask(tick);
        upstream.close();
    }

    private void logNotice(RejectionReason reason, String detail) {
        LOG.warn(
                "upstream notice relay={} reason={} detail=\"{}\"",
                settings.name(),
                reason.code(),
                detail);
    }

    private void logStale(long ageMillis) {
        LOG.warn(
                "relay stale name={} revision={} ageMillis={}",
                settings.name(),
                revision(),
                ageMillis);
    }

    private void logFreshAgain(long afterMillis) {
        LOG.info(
                "relay up to date again name={} revision={} afterMillis={}",
                settings.name(),
                revision(),
                afterMillis);
    }

    /** Passes the events of the upstream connection to the relay. */
    private final class UpstreamOwner implements UpstreamConnector.Owner {
        @Override
        public void execute(Runnable step) {
            RelayProcess.this.execute(step);
        }

        @Override
        public void connected() {
            relay.upstreamConnected(nowMillis());
        }

        @Override
        public void received(DistributionMessage message) {
            relay.upstreamReceived(message, nowMillis());
        }

        @Override
        public void undecodable(RejectionReason reason, String detail) {
            relay.upstreamUndecodable(reason, detail, nowMillis());
        }

        @Override
        public void disconnected() {
            relay.upstreamDisconnected(nowMillis());
        }
    }
}
