package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The upstream side of a governor or relay: keeps one subscription going over a choice of
 * upstreams, and knows how old what it holds may be. Whatever comes wrong is refused whole, and
 * what was held stays.
 */
public final class Subscriber {
    /**
     * What the host carries out. Calls into the subscriber from within these are not allowed, but
     * for {@link #acknowledged}.
     */
    public interface Effects {
        /**
         * Opens a connection to an upstream, by its place in the host's list; answered by connected
         * or disconnected.
         */
        void connect(int upstream);

        /** Ends the connection, or the attempt at one. No {@link #disconnected} need follow. */
        void disconnect(RejectionReason why, String place);

        /** Hands over a message, to be written in order. */
        void send(DistributionMessage message);

        /** A whole state takes the place of what was held. */
        void snapshot(Revision revision, List<Item> items);

        /** Updates to what was held. */
        void difference(Revision revision, List<Update> updates);

        /** What was held stands unchanged at a later revision. */
        default void advanced(Revision revision) {}

        /** The upstream tells something while the subscription goes on. */
        default void notice(RejectionReason reason, String place) {}
    }

    private enum Phase {
        WAITING,
        CONNECTING,
        CONNECTED
    }

    private static final long NEVER = Long.MIN_VALUE;

    private final String name;
    private final int upstreams;
    private final Limits limits;
    private final Effects effects;
    private final Supplier<Summary> summary;
    private final ReconnectBackoff backOff;
    private final RejectionCounters rejectionCounts = new RejectionCounters();

    private Scope scope;
    private long scopeEpoch = 1;
    private final SubscribedState state;
    private boolean wantsSnapshot;
    private long adopted;
    private SnapshotAssembly assembly;
    private final InForceTracker inForce = new InForceTracker();

    private Phase phase = Phase.WAITING;
    private boolean started;
    private boolean subscribed;
    private int upstream;
    private long waitUntil;
    private long connectBy;
    private long connectedAt;
    private long heardAt;
    private long acknowledgedAt;
    private Summary summarySent;

    private long freshAtMillis = NEVER;
    private int staleUpstreams;
    private long staleMoveAt;

    /**
     * A subscriber that holds nothing and is not connected; the first {@link #tick} begins.
     *
     * @param upstreams how many there are to choose from
     */
    public Subscriber(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Effects effects) {
        this(name, scope, upstreams, limits, random, effects, null);
    }

    /** As above, with the sum of what is in force below; null: there is nobody below. */
    Subscriber(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Effects effects,
            Supplier<Summary> below) {
        this.name = name;
        this.scope = scope;
        this.upstreams = upstreams;
        this.limits = limits;
        this.effects = effects;
        this.summary =
                below == null ? () -> Summary.ofOne(name, inForce.of(scopeEpoch).number()) : below;
        this.state = new SubscribedState(limits.sizes());
        this.backOff = new ReconnectBackoff(limits.timing(), random);
        this.upstream = random.nextInt(upstreams);
    }

    /** Takes up what was kept from an earlier run, before the first tick; it counts as in force. */
    public void restore(Revision revision, Collection<Item> items) {
        Map<String, Long> digests = new HashMap<>();
        items.forEach(item -> digests.put(item.key(), item.digest()));
        state.replace(revision, scopeEpoch, digests);
        inForce.begin(revision, scopeEpoch);
    }

    /** The connection that was asked for is up. */
    public void connected(long nowMillis) {
        if (phase != Phase.CONNECTING) {
            return;
        }
        phase = Phase.CONNECTED;
        connectedAt = nowMillis;
        heardAt = nowMillis;
        subscribe(nowMillis);
    }

    /** The connection, or the attempt at one, has ended. */
    public void disconnected(long nowMillis) {
        if (phase != Phase.WAITING) {
            retry(nowMillis + backOff.next(), true);
        }
    }

    /** A message came over the connection. */
    public void received(DistributionMessage message, long nowMillis) {
        if (phase != Phase.CONNECTED) {
            return;
        }
        heardAt = nowMillis;
        try {
            if (message instanceof DistributionMessage.Rejected rejected) {
                rejected(rejected, nowMillis);
            } else if (message.scopeEpoch() > scopeEpoch) {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        "scopeEpoch: " + message.scopeEpoch() + " of " + scopeEpoch);
            } else if (message.scopeEpoch() == scopeEpoch) {
                take(message, nowMillis);
            }
        } catch (RejectionException refusal) {
            wantsSnapshot |= refusal.reason() == RejectionReason.DIGEST_MISMATCH;
            end(refusal.reason(), refusal.detail(), nowMillis);
        }
    }

    /** The host could not read what came: counts it and ends the connection. */
    public void undecodable(RejectionReason reason, String detail, long nowMillis) {
        if (phase != Phase.WAITING) {
            end(reason, detail, nowMillis);
        }
    }

    /**
     * What was handed over as this revision is in force. To be called for each, in order, or for
     * the last of several.
     */
    public void acknowledged(Revision revision, long nowMillis) {
        if (inForce.acknowledged(revision, state.revision()) && phase == Phase.CONNECTED) {
            acknowledge(nowMillis);
        }
    }

    /** Does what is due: silence, reconnection. To be called every 50 ms or so. */
    public void tick(long nowMillis) {
        switch (phase) {
            case WAITING -> {
                if (!started) {
                    started = true;
                    waitUntil = nowMillis + backOff.upTo(limits.timing().initialBackoffMillis());
                }
                if (nowMillis >= waitUntil) {
                    phase = Phase.CONNECTING;
                    connectBy = nowMillis + limits.timing().connectTimeoutMillis();
                    effects.connect(upstream);
                }
            }
            case CONNECTING -> {
                if (nowMillis >= connectBy) {
                    end(RejectionReason.UNREACHABLE, "upstream " + upstream, nowMillis);
                }
            }
            default -> {
                if (nowMillis - heardAt >= limits.timing().silenceTimeoutMillis()) {
                    end(RejectionReason.SILENT, (nowMillis - heardAt) + " ms", nowMillis);
                } else if (nowMillis - acknowledgedAt >= limits.timing().acknowledgeIntervalMillis()
                        && !summary.get().equals(summarySent)) {
                    acknowledge(nowMillis);
                }
            }
        }
    }

    /**
     * Asks for another scope from now on. What is held stays until the first snapshot of the new
     * one.
     */
    public void scope(Scope wanted, long nowMillis) {
        scope = wanted;
        scopeEpoch++;
        if (phase == Phase.CONNECTED) {
            subscribe(nowMillis);
        }
    }

    /** Staff decided to follow another cluster: what is held stays until its first snapshot. */
    public void adopt(long cluster, long nowMillis) {
        adopted = cluster;
        wantsSnapshot |= state.revision().cluster() != cluster;
        if (phase != Phase.WAITING) {
            end(RejectionReason.OTHER_CLUSTER, "adopts " + Long.toHexString(cluster), nowMillis);
        }
    }

    /** What is held. */
    public Revision revision() {
        return state.revision();
    }

    /**
     * What is held was the newest there is at this time, by the clock that is handed in; the lowest
     * long if it never was.
     */
    public long freshAtMillis() {
        return freshAtMillis;
    }

    /** How old what is held may be, in milliseconds. */
    public long ageMillis(long nowMillis) {
        return freshAtMillis == NEVER ? Long.MAX_VALUE : nowMillis - freshAtMillis;
    }

    /** Whether a subscription stands, so that what is held is kept up. */
    public boolean subscribed() {
        return phase == Phase.CONNECTED && subscribed;
    }

    /** How often each reason was given, by either side. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejectionCounts.counts();
    }

    private void subscribe(long nowMillis) {
        assembly = null;
        subscribed = false;
        boolean resumes = !wantsSnapshot && state.scopeEpoch() == scopeEpoch;
        effects.send(
                new DistributionMessage.Subscribe(
                        name,
                        scopeEpoch,
                        scope,
                        resumes ? state.revision() : Revision.NONE,
                        nowMillis));
    }

    private void take(DistributionMessage message, long nowMillis) throws RejectionException {
        if (message instanceof DistributionMessage.SnapshotPart part) {
            take(part, nowMillis);
        } else if (message instanceof DistributionMessage.Difference difference) {
            take(difference);
        } else if (message instanceof DistributionMessage.Heartbeat heartbeat) {
            take(heartbeat, nowMillis);
        } else if (message instanceof DistributionMessage.Notice notice) {
            rejectionCounts.count(notice.reason());
            effects.notice(notice.reason(), notice.detail());
        } else {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "a subscriber takes no " + message.getClass().getSimpleName());
        }
    }

    private void take(DistributionMessage.SnapshotPart part, long nowMillis)
            throws RejectionException {
        if (assembly == null) {
            state.checkFollows(part.revision(), adopted);
            assembly = new SnapshotAssembly(part, limits.sizes());
        }
        assembly.add(part, scope);
        if (!assembly.complete()) {
            acknowledge(nowMillis);
            return;
        }
        SnapshotAssembly whole = assembly;
        assembly = null;
        wantsSnapshot = false;
        adopted = 0;
        if (!state.revision().sameCluster(whole.revision())) {
            inForce.begin(Revision.NONE, scopeEpoch);
            freshAtMillis = NEVER;
        }
        state.replace(whole.revision(), scopeEpoch, whole.digests());
        inForce.delivered(state.revision(), scopeEpoch);
        effects.snapshot(whole.revision(), whole.items());
    }

    private void take(DistributionMessage.Difference difference) throws RejectionException {
        if (assembly != null) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "difference within a snapshot");
        }
        state.apply(difference, scope);
        inForce.delivered(state.revision(), scopeEpoch);
        effects.difference(difference.to(), difference.updates());
    }

    private void take(DistributionMessage.Heartbeat heartbeat, long nowMillis)
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
        if (!heartbeat.current().isNone()) {
            standsAt(heartbeat, nowMillis);
        }
        acknowledge(nowMillis);
        leaveIfStale(heartbeat, nowMillis);
    }

    private void standsAt(DistributionMessage.Heartbeat heartbeat, long nowMillis)
            throws RejectionException {
        if (assembly != null || state.scopeEpoch() != scopeEpoch || wantsSnapshot) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "current: " + heartbeat.current() + " before the whole snapshot");
        }
        state.checkStandsAt(heartbeat);
        advance(heartbeat.current());
        freshAtMillis = Math.max(freshAtMillis, heartbeat.echoMillis() - heartbeat.staleMillis());
        subscribed = true;
        if (nowMillis - connectedAt >= limits.timing().silenceTimeoutMillis()) {
            backOff.reset();
        }
    }

    private void advance(Revision current) {
        if (current.number() == state.revision().number()) {
            return;
        }
        state.advance(current);
        inForce.advanced(current);
        effects.advanced(current);
    }

    /**
     * Moves to the next upstream once for each; when all are out of date it stays a while, and then
     * looks again.
     */
    private void leaveIfStale(DistributionMessage.Heartbeat heartbeat, long nowMillis) {
        if (heartbeat.staleMillis() <= limits.timing().staleThresholdMillis()) {
            staleUpstreams = 0;
        } else if (!heartbeat.current().isNone() && nowMillis >= staleMoveAt && upstreams > 1) {
            staleUpstreams++;
            if (staleUpstreams >= upstreams) {
                staleUpstreams = 0;
                staleMoveAt =
                        nowMillis
                                + limits.timing().staleRetryMillis() / 2
                                + backOff.upTo(limits.timing().staleRetryMillis() / 2);
            } else {
                end(
                        RejectionReason.STALE_UPSTREAM,
                        "stale for " + heartbeat.staleMillis() + " ms",
                        nowMillis);
            }
        }
    }

    private void rejected(DistributionMessage.Rejected rejected, long nowMillis) {
        rejectionCounts.count(rejected.reason());
        effects.disconnect(rejected.reason(), rejected.detail());
        long wait = backOff.next();
        long told =
                Math.min(
                        Math.max(0, rejected.retryAfterMillis()),
                        limits.admission().maxRetryMillis());
        retry(nowMillis + Math.max(wait, told), rejected.reason() != RejectionReason.BUSY);
    }

    private void end(RejectionReason reason, String detail, long nowMillis) {
        rejectionCounts.count(reason);
        effects.disconnect(reason, detail);
        retry(nowMillis + backOff.next(), true);
    }

    private void retry(long at, boolean elsewhere) {
        phase = Phase.WAITING;
        subscribed = false;
        assembly = null;
        summarySent = null;
        waitUntil = at;
        if (elsewhere) {
            upstream = (upstream + 1) % upstreams;
        }
    }

    private void acknowledge(long nowMillis) {
        acknowledgedAt = nowMillis;
        summarySent = summary.get();
        effects.send(
                new DistributionMessage.Acknowledge(
                        scopeEpoch,
                        inForce.of(scopeEpoch),
                        assembly == null ? 0 : assembly.received(),
                        summarySent,
                        nowMillis));
    }
}
