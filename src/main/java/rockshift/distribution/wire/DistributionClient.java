package rockshift.distribution.wire;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Subscriber;
import rockshift.distribution.Update;

/**
 * A subscriber on sockets: it keeps what concerns a governor up to date and hands it to a listener.
 * Any number of clients share the two threads of one {@link DistributionReactor}. Each decision is
 * the {@link Subscriber}'s; its steps run one at a time.
 */
public final class DistributionClient implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DistributionReactor reactor;
    private final DistributionListener listener;
    private final UpstreamConnector port;
    private final Subscriber subscriber;
    private final StalenessMonitor cutOff;
    private final Runnable tick = this::tick;
    private boolean closed;

    /**
     * A client that holds nothing; {@link #start} has it begin.
     *
     * @param name by which publishers know it; no two clients have the same
     * @param upstreams relays or members, in the order in which they are tried
     */
    public DistributionClient(
            DistributionReactor reactor,
            String name,
            List<InetSocketAddress> upstreams,
            Scope scope,
            Limits limits,
            RandomGenerator random,
            DistributionListener listener) {
        this.reactor = reactor;
        this.listener = listener;
        port = new UpstreamConnector(reactor, upstreams, new PortOwner());
        subscriber = new Subscriber(name, scope, upstreams.size(), limits, random, new Effects());
        cutOff =
                new StalenessMonitor(
                        limits.timing().staleThresholdMillis(),
                        now(),
                        listener::stale,
                        listener::freshAgain);
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Takes up what was kept from an earlier run, before the start. */
    public synchronized void restore(Revision revision, Collection<Item> items) {
        subscriber.restore(revision, items);
    }

    /** Begins to connect. */
    public void start() {
        reactor.tick(tick);
    }

    private synchronized void tick() {
        if (!closed) {
            subscriber.tick(now());
            cutOff.look(subscriber.freshAtMillis(), now());
        }
    }

    /** Asks for another scope from now on. */
    public synchronized void scope(Scope scope) {
        subscriber.scope(scope, now());
    }

    /**
     * Follows another cluster from now on, as staff decided; what is held stays until its first
     * snapshot.
     */
    public synchronized void adopt(long cluster) {
        subscriber.adopt(cluster, now());
    }

    public synchronized Revision revision() {
        return subscriber.revision();
    }

    /** How old what is held may be, in ms. */
    public synchronized long ageMillis() {
        return subscriber.ageMillis(now());
    }

    /** Whether a subscription stands, so that what is held is kept up to date. */
    public synchronized boolean subscribed() {
        return subscriber.subscribed();
    }

    /** The upstream dialled last, by its place in the list; -1 before the first. */
    public synchronized int upstream() {
        return port.upstream();
    }

    /** How often each reason was given for a refusal or an end, by either side. */
    public synchronized Map<RejectionReason, Long> rejections() {
        return subscriber.rejectionCounts();
    }

    /**
     * What the listener was handed is in force; a listener's own thread must not wait for the
     * client's steps.
     */
    private void inForce(Revision revision) {
        if (Thread.holdsLock(this)) {
            subscriber.acknowledged(revision, now());
        } else {
            reactor.execute(() -> acknowledge(revision));
        }
    }

    private synchronized void acknowledge(Revision revision) {
        if (!closed) {
            subscriber.acknowledged(revision, now());
        }
    }

    /** Ends the connection. What the listener holds stays as it is. */
    @Override
    public synchronized void close() {
        closed = true;
        reactor.stopTicking(tick);
        port.close();
    }

    /** Hands the connection's events to the subscriber, one at a time. */
    private final class PortOwner implements UpstreamConnector.Owner {
        @Override
        public void execute(Runnable step) {
            synchronized (DistributionClient.this) {
                if (!closed) {
                    step.run();
                }
            }
        }

        @Override
        public void connected() {
            subscriber.connected(now());
        }

        @Override
        public void received(DistributionMessage message) {
            subscriber.received(message, now());
        }

        @Override
        public void undecodable(RejectionReason reason, String place) {
            subscriber.undecodable(reason, place, now());
        }

        @Override
        public void disconnected() {
            subscriber.disconnected(now());
        }
    }

    /** Carries out what the subscriber decides. */
    private final class Effects implements Subscriber.Effects {
        @Override
        public void connect(int upstream) {
            port.connect(upstream);
        }

        @Override
        public void disconnect(RejectionReason why, String place) {
            port.disconnect(why, place);
        }

        @Override
        public void send(DistributionMessage message) {
            port.send(message);
        }

        @Override
        public void snapshot(Revision revision, List<Item> items) {
            listener.snapshot(revision, items, () -> inForce(revision));
        }

        @Override
        public void difference(Revision revision, List<Update> updates) {
            listener.difference(revision, updates, () -> inForce(revision));
        }

        @Override
        public void advanced(Revision revision) {
            listener.advanced(revision);
        }

        @Override
        public void notice(RejectionReason reason, String place) {
            listener.notice(reason, place);
        }
    }
}
