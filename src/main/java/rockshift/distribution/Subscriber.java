package rockshift.distribution;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The upstream side of a controller or relay: maintains one subscription across several upstreams
 * and tracks how old its state may be. An invalid message ends the connection and leaves the state
 * unchanged.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time. {@link UpstreamRotation} decides
 * where and when to connect, {@link StateReceiver} validates and applies what is received.
 */
public final class Subscriber {
    /**
     * The host's connection, to one upstream at a time. Its methods must not call back into the
     * subscriber.
     */
    public interface Transport {
        /**
         * Opens a connection to an upstream, given by its index in the host's list. The host
         * reports the result by calling {@link #connected} or {@link #disconnected}.
         */
        void connect(int upstream);

        /**
         * Closes the connection or abandons the connection attempt. The host need not call {@link
         * #disconnected} afterwards.
         */
        void disconnect(RejectionReason reason, String detail);

        /** Sends a message; messages keep their order. */
        void send(DistributionMessage message);
    }

    /** Receives the state and its changes. Its methods may call back only {@link #acknowledged}. */
    public interface Listener {
        /** Called with a whole state that replaces the previous one. */
        void snapshot(Revision revision, List<Item> items);

        /** Called with updates to the state. */
        void difference(Revision revision, List<Update> updates);

        /** Called when the state is unchanged at a later revision. */
        default void advanced(Revision revision) {}

        /** Called with a notice of the upstream that does not end the subscription. */
        default void notice(RejectionReason reason, String detail) {}
    }

    private enum Phase {
        WAITING,
        CONNECTING,
        CONNECTED
    }

    private final String name;
    private final Limits limits;
    private final Transport transport;
    private final Listener listener;
    private final Supplier<Summary> summary;
    private final StateReceiver receiver;
    private final UpstreamRotation upstreams;
    private final RejectionCounters rejections = new RejectionCounters();

    private Phase phase = Phase.WAITING;
    private boolean subscribed;
    private long connectDeadlineMillis;
    private long connectedAtMillis;
    private long lastReceivedAtMillis;
    private long lastAcknowledgedAtMillis;
    private Summary lastSentSummary;

    /**
     * Creates a subscriber without a state or connection; the first {@link #tick} starts it.
     *
     * @param upstreams the number of upstreams to choose from
     */
    public Subscriber(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Transport transport,
            Listener listener) {
        this(name, scope, upstreams, limits, random, transport, listener, null);
    }

    /**
     * Creates a subscriber that reports a summary of its downstream side.
     *
     * @param downstreamSummary supplies the summary; null if there is no downstream side
     */
    Subscriber(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Transport transport,
            Listener listener,
            Supplier<Summary> downstreamSummary) {
        this.name = name;
        this.limits = limits;
        this.transport = transport;
        this.listener = listener;
        this.receiver = new StateReceiver(scope, limits.sizes(), listener);
        this.summary =
                downstreamSummary == null
                        ? () -> Summary.ofOne(name, receiver.inForce().number())
                        : downstreamSummary;
        this.upstreams = new UpstreamRotation(upstreams, limits, random);
    }

    /**
     * Restores a state retained from an earlier run; it counts as in force. Must be called before
     * the first tick.
     */
    public void restore(Revision revision, Collection<Item> items) {
        receiver.restore(revision, items);
    }

    /** Handles the establishment of the requested connection. */
    public void connected(long nowMillis) {
        if (phase != Phase.CONNECTING) {
            return;
        }
        phase = Phase.CONNECTED;
        connectedAtMillis = nowMillis;
        lastReceivedAtMillis = nowMillis;
        subscribe(nowMillis);
    }

    /** Handles the end of the connection, or a failed connection attempt. */
    public void disconnected(long nowMillis) {
        if (phase != Phase.WAITING) {
            upstreams.failed(nowMillis);
            awaitRetry();
        }
    }

    /** Handles a message received on the connection. */
    public void received(DistributionMessage message, long nowMillis) {
        if (phase != Phase.CONNECTED) {
            return;
        }
        lastReceivedAtMillis = nowMillis;
        try {
            if (message instanceof DistributionMessage.Rejected rejected) {
                rejected(rejected, nowMillis);
            } else if (message.scopeEpoch() > receiver.scopeEpoch()) {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        "scopeEpoch: "
                                + message.scopeEpoch()
                                + " was never subscribed to, latest is "
                                + receiver.scopeEpoch());
            } else if (message.scopeEpoch() == receiver.scopeEpoch()) {
                receive(message, nowMillis);
            }
        } catch (RejectionException rejection) {
            if (rejection.reason() == RejectionReason.DIGEST_MISMATCH) {
                receiver.requireSnapshot();
            }
            closeConnection(rejection.reason(), rejection.detail(), nowMillis);
        }
    }

    /** Handles a message that the host could not decode: counts it and closes the connection. */
    public void undecodable(RejectionReason reason, String detail, long nowMillis) {
        if (phase != Phase.WAITING) {
            closeConnection(reason, detail, nowMillis);
        }
    }

    /**
     * Acknowledges that the state delivered at this revision is in force. Must be called for each
     * delivery in order, or for the last of several.
     */
    public void acknowledged(Revision revision, long nowMillis) {
        if (receiver.acknowledged(revision) && phase == Phase.CONNECTED) {
            acknowledge(nowMillis);
        }
    }

    /** Runs the due timers: silence timeout and reconnection. Must be called about every 50 ms. */
    public void tick(long nowMillis) {
        switch (phase) {
            case WAITING -> {
                if (upstreams.connectDue(nowMillis)) {
                    phase = Phase.CONNECTING;
                    connectDeadlineMillis = nowMillis + limits.timing().connectTimeoutMillis();
                    transport.connect(upstreams.current());
                }
            }
            case CONNECTING -> {
                if (nowMillis >= connectDeadlineMillis) {
                    String detail =
                            "upstream "
                                    + upstreams.current()
                                    + " did not connect within "
                                    + limits.timing().connectTimeoutMillis()
                                    + " ms";
                    closeConnection(RejectionReason.UNREACHABLE, detail, nowMillis);
                }
            }
            default -> tickConnected(nowMillis);
        }
    }

    private void tickConnected(long nowMillis) {
        long silentMillis = nowMillis - lastReceivedAtMillis;
        if (silentMillis >= limits.timing().silenceTimeoutMillis()) {
            String detail = "no message received for " + silentMillis + " ms";
            closeConnection(RejectionReason.SILENT, detail, nowMillis);
        } else if (nowMillis - lastAcknowledgedAtMillis
                        >= limits.timing().acknowledgeIntervalMillis()
                && !summary.get().equals(lastSentSummary)) {
            acknowledge(nowMillis);
        }
    }

    /** Changes the scope. The state is kept until the first snapshot of the new scope. */
    public void scope(Scope newScope, long nowMillis) {
        receiver.changeScope(newScope);
        if (phase == Phase.CONNECTED) {
            subscribe(nowMillis);
        }
    }

    /**
     * Switches to another cluster by decision of an operator. The state is kept until the first
     * snapshot of that cluster.
     */
    public void adopt(long cluster, long nowMillis) {
        receiver.adopt(cluster);
        if (phase != Phase.WAITING) {
            String detail = "adopts cluster " + Long.toHexString(cluster);
            closeConnection(RejectionReason.OTHER_CLUSTER, detail, nowMillis);
        }
    }

    /** Returns the revision of the state. */
    public Revision revision() {
        return receiver.revision();
    }

    /**
     * Returns when the state was last known to be current, by the clock of the caller; {@link
     * Long#MIN_VALUE} if it never was.
     */
    public long freshAtMillis() {
        return receiver.freshAtMillis();
    }

    /** Returns how old the state may be; {@link Long#MAX_VALUE} if it never was current. */
    public long ageMillis(long nowMillis) {
        long freshAtMillis = receiver.freshAtMillis();
        return freshAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : nowMillis - freshAtMillis;
    }

    /** Returns whether the subscription is active, so that the state is kept up to date. */
    public boolean subscribed() {
        return phase == Phase.CONNECTED && subscribed;
    }

    /** Returns the count of each rejection reason, given by either side. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejections.counts();
    }

    private void subscribe(long nowMillis) {
        receiver.abandonSnapshot();
        subscribed = false;
        transport.send(
                new DistributionMessage.Subscribe(
                        name,
                        receiver.scopeEpoch(),
                        receiver.scope(),
                        receiver.resumableRevision(),
                        nowMillis));
    }

    private void receive(DistributionMessage message, long nowMillis) throws RejectionException {
        if (message instanceof DistributionMessage.SnapshotPart part) {
            receiver.receive(part);
            if (receiver.snapshotPending()) {
                acknowledge(nowMillis);
            }
        } else if (message instanceof DistributionMessage.Difference difference) {
            receiver.receive(difference);
        } else if (message instanceof DistributionMessage.Heartbeat heartbeat) {
            receive(heartbeat, nowMillis);
        } else if (message instanceof DistributionMessage.Notice notice) {
            rejections.count(notice.reason());
            listener.notice(notice.reason(), notice.detail());
        } else {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "message: "
                            + message.getClass().getSimpleName()
                            + " is not accepted by a subscriber");
        }
    }

    private void receive(DistributionMessage.Heartbeat heartbeat, long nowMillis)
            throws RejectionException {
        if (heartbeat.staleMillis() < 0 || heartbeat.echoMillis() > nowMillis) {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "heartbeat: staleMillis "
                            + heartbeat.staleMillis()
                            + " must not be negative, echoMillis "
                            + heartbeat.echoMillis()
                            + " must not be after "
                            + nowMillis);
        }
        boolean hasState = !heartbeat.current().isNone();
        if (hasState) {
            receiver.receive(heartbeat);
            subscribed = true;
            if (nowMillis - connectedAtMillis >= limits.timing().silenceTimeoutMillis()) {
                upstreams.connectionStable();
            }
        }
        acknowledge(nowMillis);
        if (upstreams.shouldLeaveStale(hasState, heartbeat.staleMillis(), nowMillis)) {
            String detail = "upstream state is stale for " + heartbeat.staleMillis() + " ms";
            closeConnection(RejectionReason.STALE_UPSTREAM, detail, nowMillis);
        }
    }

    private void rejected(DistributionMessage.Rejected rejected, long nowMillis) {
        rejections.count(rejected.reason());
        transport.disconnect(rejected.reason(), rejected.detail());
        upstreams.rejected(rejected, nowMillis);
        awaitRetry();
    }

    private void closeConnection(RejectionReason reason, String detail, long nowMillis) {
        rejections.count(reason);
        transport.disconnect(reason, detail);
        upstreams.failed(nowMillis);
        awaitRetry();
    }

    private void awaitRetry() {
        phase = Phase.WAITING;
        subscribed = false;
        receiver.abandonSnapshot();
        lastSentSummary = null;
    }

    private void acknowledge(long nowMillis) {
        lastAcknowledgedAtMillis = nowMillis;
        lastSentSummary = summary.get();
        transport.send(
                new DistributionMessage.Acknowledge(
                        receiver.scopeEpoch(),
                        receiver.inForce(),
                        receiver.snapshotParts(),
                        lastSentSummary,
                        nowMillis));
    }
}
