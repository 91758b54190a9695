package rockshift.distribution;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The upstream side of a controller or relay: keeps one subscription going over a choice of
 * upstreams, and knows how old its state may be. An invalid message ends the connection and leaves
 * the state as it was.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time. To read on: {@link
 * UpstreamRotation} decides where and when to dial, {@link StateReceiver} what becomes of the
 * state.
 */
public final class Subscriber {
    /**
     * The host's connection to one upstream at a time. Calls into the subscriber from within these
     * are not allowed.
     */
    public interface Transport {
        /**
         * Opens a connection to an upstream, by its index in the host's list; answered by connected
         * or disconnected.
         */
        void connect(int upstream);

        /** Ends the connection, or the attempt at one. No {@link #disconnected} need follow. */
        void disconnect(RejectionReason reason, String detail);

        /** Sends a message, in order. */
        void send(DistributionMessage message);
    }

    /**
     * Takes the state and what changes in it. From within these only {@link #acknowledged} may be
     * called.
     */
    public interface Listener {
        /** A whole state takes the place of the one before. */
        void snapshot(Revision revision, List<Item> items);

        /** Updates to the state. */
        void difference(Revision revision, List<Update> updates);

        /** The state stands unchanged at a later revision. */
        default void advanced(Revision revision) {}

        /** The upstream tells something while the subscription goes on. */
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
     * A subscriber that has no state and is not connected; the first {@link #tick} begins.
     *
     * @param upstreams how many there are to choose from
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

    /** As above, with the sum of what is in force below; null: there is nobody below. */
    Subscriber(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Transport transport,
            Listener listener,
            Supplier<Summary> below) {
        this.name = name;
        this.limits = limits;
        this.transport = transport;
        this.listener = listener;
        this.receiver = new StateReceiver(scope, limits.sizes(), listener);
        this.summary =
                below == null ? () -> Summary.ofOne(name, receiver.inForce().number()) : below;
        this.upstreams = new UpstreamRotation(upstreams, limits, random);
    }

    /** Takes up a state kept from an earlier run, before the first tick; it counts as in force. */
    public void restore(Revision revision, Collection<Item> items) {
        receiver.restore(revision, items);
    }

    /** The connection that was asked for is up. */
    public void connected(long nowMillis) {
        if (phase != Phase.CONNECTING) {
            return;
        }
        phase = Phase.CONNECTED;
        connectedAtMillis = nowMillis;
        lastReceivedAtMillis = nowMillis;
        subscribe(nowMillis);
    }

    /** The connection, or the attempt at one, has ended. */
    public void disconnected(long nowMillis) {
        if (phase != Phase.WAITING) {
            upstreams.failed(nowMillis);
            awaitRetry();
        }
    }

    /** A message came over the connection. */
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
                        "scopeEpoch: " + message.scopeEpoch() + " of " + receiver.scopeEpoch());
            } else if (message.scopeEpoch() == receiver.scopeEpoch()) {
                receive(message, nowMillis);
            }
        } catch (RejectionException rejection) {
            if (rejection.reason() == RejectionReason.DIGEST_MISMATCH) {
                receiver.requireSnapshot();
            }
            end(rejection.reason(), rejection.detail(), nowMillis);
        }
    }

    /** The host could not decode a message: counts it and ends the connection. */
    public void undecodable(RejectionReason reason, String detail, long nowMillis) {
        if (phase != Phase.WAITING) {
            end(reason, detail, nowMillis);
        }
    }

    /**
     * The state that was handed over at this revision is in force. To be called for each, in order,
     * or for the last of several.
     */
    public void acknowledged(Revision revision, long nowMillis) {
        if (receiver.acknowledged(revision) && phase == Phase.CONNECTED) {
            acknowledge(nowMillis);
        }
    }

    /** Does what is due: silence, reconnection. To be called every 50 ms or so. */
    public void tick(long nowMillis) {
        switch (phase) {
            case WAITING -> {
                if (upstreams.dialDue(nowMillis)) {
                    phase = Phase.CONNECTING;
                    connectDeadlineMillis = nowMillis + limits.timing().connectTimeoutMillis();
                    transport.connect(upstreams.current());
                }
            }
            case CONNECTING -> {
                if (nowMillis >= connectDeadlineMillis) {
                    String detail = "upstream " + upstreams.current();
                    end(RejectionReason.UNREACHABLE, detail, nowMillis);
                }
            }
            default -> tickConnected(nowMillis);
        }
    }

    private void tickConnected(long nowMillis) {
        long silentMillis = nowMillis - lastReceivedAtMillis;
        if (silentMillis >= limits.timing().silenceTimeoutMillis()) {
            end(RejectionReason.SILENT, silentMillis + " ms", nowMillis);
        } else if (nowMillis - lastAcknowledgedAtMillis
                        >= limits.timing().acknowledgeIntervalMillis()
                && !summary.get().equals(lastSentSummary)) {
            acknowledge(nowMillis);
        }
    }

    /**
     * Asks for another scope from now on. The state stays until the first snapshot of the new one.
     */
    public void scope(Scope wanted, long nowMillis) {
        receiver.changeScope(wanted);
        if (phase == Phase.CONNECTED) {
            subscribe(nowMillis);
        }
    }

    /** An operator decided to follow another cluster: the state stays until its first snapshot. */
    public void adopt(long cluster, long nowMillis) {
        receiver.adopt(cluster);
        if (phase != Phase.WAITING) {
            String detail = "adopts " + Long.toHexString(cluster);
            end(RejectionReason.OTHER_CLUSTER, detail, nowMillis);
        }
    }

    /** The revision of the state. */
    public Revision revision() {
        return receiver.revision();
    }

    /**
     * The state was the newest there is at this time, by the clock that is handed in; the lowest
     * long if it never was.
     */
    public long freshAtMillis() {
        return receiver.freshAtMillis();
    }

    /** How old the state may be; the highest long if it never was the newest. */
    public long ageMillis(long nowMillis) {
        long freshAtMillis = receiver.freshAtMillis();
        return freshAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : nowMillis - freshAtMillis;
    }

    /** Whether a subscription stands, so that the state is kept up to date. */
    public boolean subscribed() {
        return phase == Phase.CONNECTED && subscribed;
    }

    /** How often each reason was given, by either side. */
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
                    "a subscriber takes no " + message.getClass().getSimpleName());
        }
    }

    private void receive(DistributionMessage.Heartbeat heartbeat, long nowMillis)
            throws RejectionException {
        if (heartbeat.staleMillis() < 0 || heartbeat.echoMillis() > nowMillis) {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "heartbeat: stale for "
                            + heartbeat.staleMillis()
                            + " ms, answers "
                            + heartbeat.echoMillis()
                            + " at "
                            + nowMillis);
        }
        boolean hasState = !heartbeat.current().isNone();
        if (hasState) {
            receiver.receive(heartbeat);
            subscribed = true;
            if (nowMillis - connectedAtMillis >= limits.timing().silenceTimeoutMillis()) {
                upstreams.proved();
            }
        }
        acknowledge(nowMillis);
        if (upstreams.shouldLeaveStale(hasState, heartbeat.staleMillis(), nowMillis)) {
            String detail = "stale for " + heartbeat.staleMillis() + " ms";
            end(RejectionReason.STALE_UPSTREAM, detail, nowMillis);
        }
    }

    private void rejected(DistributionMessage.Rejected rejected, long nowMillis) {
        rejections.count(rejected.reason());
        transport.disconnect(rejected.reason(), rejected.detail());
        upstreams.rejected(rejected, nowMillis);
        awaitRetry();
    }

    private void end(RejectionReason reason, String detail, long nowMillis) {
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
