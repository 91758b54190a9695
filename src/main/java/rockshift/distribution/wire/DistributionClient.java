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
 * A subscriber on sockets: it keeps what concerns a controller up to date and hands it to a
 * listener. Any number of clients share the two threads of one {@link DistributionReactor}. Each
 * decision is the {@link Subscriber}'s.
 *
 * <p>The subscriber's steps run one at a time under this object's monitor, on the reactor's threads
 * and on those of callers.
 */
public final class DistributionClient implements AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DistributionReactor reactor;
    private final DistributionListener listener;
    private final UpstreamConnector upstream;
    private final Subscriber subscriber;
    private final StalenessMonitor staleness;
    private final Runnable tick = this::tick;
    private boolean closed;

    /**
     * A client without a state; {@link #start} has it begin.
     *
     * @param name by which publishers know it; no two clients have the same
     * @param upstreams relays or members, tried in this order from one that is chosen by chance
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
        upstream = new UpstreamConnector(reactor, upstreams, new UpstreamOwner());
        subscriber =
                new Subscriber(
                        name,
                        scope,
                        upstreams.size(),
                        limits,
                        random,
                        upstream,
                        new StateListener());
        staleness =
                new StalenessMonitor(
                        limits.timing().staleThresholdMillis(),
                        nowMillis(),
                        listener::stale,
                        listener::freshAgain);
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Takes up a state kept from an earlier run, before the start. */
    public synchronized void restore(Revision revision, Collection<Item> items) {
        subscriber.restore(revision, items);
    }

    /** Begins to connect. */
    public void start() {
        reactor.addTickTask(tick);
    }

    private synchronized void tick() {
        if (!closed) {
            subscriber.tick(nowMillis());
            staleness.check(subscriber.freshAtMillis(), nowMillis());
        }
    }

    /** Asks for another scope from now on. */
    public synchronized void scope(Scope scope) {
        subscriber.scope(scope, nowMillis());
    }

    /**
     * Follows another cluster from now on, as an operator decided; the state stays until its first
     * snapshot.
     */
    public synchronized void adopt(long cluster) {
        subscriber.adopt(cluster, nowMillis());
    }

    /** The revision of the state. */
    public synchronized Revision revision() {
        return subscriber.revision();
    }

    /** How old the state may be, in milliseconds. */
    public synchronized long ageMillis() {
        return subscriber.ageMillis(nowMillis());
    }

    /** Whether a subscription stands, so that the state is kept up to date. */
    public synchronized boolean subscribed() {
        return subscriber.subscribed();
    }

    /** The upstream dialled last, by its index in the list; -1 before the first. */
    public synchronized int upstream() {
        return upstream.upstream();
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
            subscriber.acknowledged(revision, nowMillis());
        } else {
            reactor.execute(() -> acknowledge(revision));
        }
    }

    private synchronized void acknowledge(Revision revision) {
        if (!closed) {
            subscriber.acknowledged(revision, nowMillis());
        }
    }

    /** Ends the connection. The listener keeps the state that it has. */
    @Override
    public synchronized void close() {
        closed = true;
        reactor.removeTickTask(tick);
        upstream.close();
    }

    /** Hands the connection's events to the subscriber, one at a time. */
    private final class UpstreamOwner implements UpstreamConnector.Owner {
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
            subscriber.connected(nowMillis());
        }

        @Override
        public void received(DistributionMessage message) {
            subscriber.received(message, nowMillis());
        }

        @Override
        public void undecodable(RejectionReason reason, String detail) {
            subscriber.undecodable(reason, detail, nowMillis());
        }

        @Override
        public void disconnected() {
            subscriber.disconnected(nowMillis());
        }
    }

    /** Hands the state to the listener, with a way to say that it is in force. */
    private final class StateListener implements Subscriber.Listener {
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
        public void notice(RejectionReason reason, String detail) {
            listener.notice(reason, detail);
        }
    }
}
