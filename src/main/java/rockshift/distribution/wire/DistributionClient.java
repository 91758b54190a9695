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
 * A subscriber on sockets, which keeps a controller's state up to date and passes it to a listener.
 * Any number of clients share the threads of one {@link DistributionReactor}. All decisions are
 * made by the {@link Subscriber}.
 *
 * <p>Thread-safe. The subscriber's steps run one at a time under this object's monitor, on the
 * reactor's threads and on those of callers.
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
     * Creates a client without a state; {@link #start} starts it.
     *
     * @param name the name by which publishers know the client; must be unique
     * @param upstreams relays or members, tried in this order from a random one
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
                        listener::upToDate);
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Restores a state retained from an earlier run. Must be called before the start. */
    public synchronized void restore(Revision revision, Collection<Item> items) {
        subscriber.restore(revision, items);
    }

    /** Starts connecting. */
    public void start() {
        reactor.addTickTask(tick);
    }

    private synchronized void tick() {
        if (!closed) {
            subscriber.tick(nowMillis());
            staleness.check(subscriber.freshAtMillis(), nowMillis());
        }
    }

    /** Changes the scope. */
    public synchronized void changeScope(Scope scope) {
        subscriber.scope(scope, nowMillis());
    }

    /**
     * Switches to another cluster by decision of an operator. The state is kept until the first
     * snapshot of that cluster.
     */
    public synchronized void adopt(long cluster) {
        subscriber.adopt(cluster, nowMillis());
    }

    /** Returns the revision of the state. */
    public synchronized Revision revision() {
        return subscriber.revision();
    }

    /** Returns how old the state may be, in milliseconds. */
    public synchronized long ageMillis() {
        return subscriber.ageMillis(nowMillis());
    }

    /** Returns whether the subscription is active, so that the state is kept up to date. */
    public synchronized boolean subscribed() {
        return subscriber.subscribed();
    }

    /**
     * Returns the index of the upstream connected to last; -1 before the first connection attempt.
     */
    public synchronized int upstream() {
        return upstream.upstream();
    }

    /** Returns the count of each rejection reason, given by either side. */
    public synchronized Map<RejectionReason, Long> rejections() {
        return subscriber.rejectionCounts();
    }

    /**
     * Acknowledges that a delivery is in force. A listener's own thread must not wait for the
     * client's steps, so its acknowledgement runs on the reactor.
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

    /** Closes the connection. The listener keeps its state. */
    @Override
    public synchronized void close() {
        closed = true;
        reactor.removeTickTask(tick);
        upstream.close();
    }

    /** Passes the connection's events to the subscriber, one at a time. */
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

    /** Passes the state to the listener, with a callback for reporting that it is in force. */
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
