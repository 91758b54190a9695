package rockshift.distribution;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The downstream side of a member or relay: serves subscribers from a store. Connections are
 * numbered by the host. A change costs those whom it concerns; heartbeats are spread over their
 * interval.
 */
public final class Publisher {
    /** What the host carries out. Calls into the publisher from within these are not allowed. */
    public interface Effects {
        /** Hands over a message, to be written in order. */
        void send(long connection, DistributionMessage message);

        /**
         * Ends a connection once all sent to it is written. No {@link #disconnected} need follow.
         */
        void close(long connection, RejectionReason why, String place);
    }

    /** The largest age that is told; also that of what was never fresh. */
    private static final long MOST_STALE_MILLIS = 1L << 40;

    private static final long NEVER = Long.MIN_VALUE;

    private final ConfigurationStore store;
    private final Scope served;
    private final Limits limits;
    private final RandomGenerator random;
    private final Effects effects;
    private final SubscriptionRateLimiter admission;
    private final SummaryAggregator tally;
    private final RejectionCounters rejectionCounts = new RejectionCounters();
    private final SubscriptionIndex index = new SubscriptionIndex();
    private final Map<Long, Subscription> connections = new HashMap<>();
    private final Map<String, Subscription> byName = new HashMap<>();
    private final TreeSet<Subscription> timers =
            new TreeSet<>(
                    Comparator.comparingLong((Subscription each) -> each.dueAt())
                            .thenComparingLong(Subscription::connection));
    private Revision published;
    private long generation;
    private long freshAt = NEVER;
    private int transfers;

    /**
     * A publisher without subscribers.
     *
     * @param store what it serves; the owner changes it and then calls {@link #published}
     * @param served what the store holds: wider scopes are refused
     */
    public Publisher(
            ConfigurationStore store,
            Scope served,
            Limits limits,
            RandomGenerator random,
            Effects effects) {
        this.store = store;
        this.served = served;
        this.limits = limits;
        this.random = random;
        this.effects = effects;
        this.admission = new SubscriptionRateLimiter(limits.admission(), random);
        this.tally = new SummaryAggregator(limits.admission().maxConnections());
        this.published = store.current();
        this.generation = store.generation();
    }

    /** A connection came up. */
    public void connected(long connection, long nowMillis) {
        if (connections.size() >= limits.admission().maxConnections()) {
            rejectionCounts.count(RejectionReason.BUSY);
            String detail = "connections: " + connections.size();
            effects.send(
                    connection,
                    new DistributionMessage.Rejected(
                            0, RejectionReason.BUSY, detail, admission.retryAfter(nowMillis)));
            effects.close(connection, RejectionReason.BUSY, detail);
            return;
        }
        Subscription subscription = new Subscription(connection, nowMillis);
        connections.put(connection, subscription);
        schedule(subscription);
    }

    /** A connection has ended. Unknown ones are ignored. */
    public void disconnected(long connection, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            forget(subscription, nowMillis);
        }
    }

    /** A message came. Those of connections already closed are ignored. */
    public void received(long connection, DistributionMessage message, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription == null) {
            return;
        }
        try {
            if (message instanceof DistributionMessage.Subscribe subscribe) {
                subscribe(subscription, subscribe, nowMillis);
            } else if (message instanceof DistributionMessage.Acknowledge acknowledge) {
                acknowledge(subscription, acknowledge, nowMillis);
            } else {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        "a publisher takes no " + message.getClass().getSimpleName());
            }
        } catch (RejectionException refusal) {
            reject(subscription, refusal.reason(), refusal.detail(), 0, nowMillis);
        }
    }

    /** The host could not read what came: counts it, tells the subscriber, ends the connection. */
    public void undecodable(
            long connection, RejectionReason reason, String detail, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            reject(subscription, reason, detail, 0, nowMillis);
        }
    }

    /** The store has changed. To be called after each change, before anything else. */
    public void published(long nowMillis) {
        if (store.generation() != generation) {
            generation = store.generation();
            index.all().forEach(each -> each.requireSnapshot(freshAt));
            freshAt = NEVER;
            index.all().forEach(each -> flush(each, nowMillis));
        } else {
            concerned().forEach(each -> flush(each, nowMillis));
        }
        published = store.current();
    }

    /**
     * What the store holds was the newest there is at this time; a member says so while it follows
     * a leader, after it has published all that was agreed until then, and else leaves it.
     */
    public void freshAt(long atMillis) {
        freshAt = Math.max(freshAt, atMillis);
    }

    /**
     * Does what is due: heartbeats, silent connections, changes that waited. To be called every 50
     * ms or so.
     */
    public void tick(long nowMillis) {
        tally.forget(nowMillis);
        while (!timers.isEmpty() && timers.first().dueAt() <= nowMillis) {
            Subscription due = timers.pollFirst();
            if (nowMillis - due.heardAt() >= limits.timing().silenceTimeoutMillis()) {
                close(due, RejectionReason.SILENT, (nowMillis - due.heardAt()) + " ms", nowMillis);
            } else if (due.heartbeatAt() <= nowMillis) {
                beat(due, nowMillis);
            } else {
                schedule(due);
            }
        }
    }

    /** What is in force below. */
    public Summary summary() {
        return tally.sum(store.current().number());
    }

    /** How often each reason was given. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejectionCounts.counts();
    }

    /** Connections open, subscribed or not. */
    public int connections() {
        return connections.size();
    }

    private void subscribe(
            Subscription subscription, DistributionMessage.Subscribe message, long nowMillis)
            throws RejectionException {
        RequestValidator.check(message, subscription, served, limits);
        if (refusedForNow(subscription, message, nowMillis)) {
            return;
        }
        subscription.heard(nowMillis);
        subscription.echo(message.sentMillis());
        boolean begins = !subscription.subscribed();
        if (begins) {
            takeOver(message.subscriber(), nowMillis);
        } else {
            index.remove(subscription);
            endTransfer(subscription);
        }
        subscription.subscribe(message, begins ? tally.found(message.subscriber()) : 0);
        byName.put(message.subscriber(), subscription);
        index.add(subscription);
        noticeUnmatched(subscription);
        begin(subscription, message.held(), nowMillis);
        timers.remove(subscription);
        beat(subscription, nowMillis);
        if (begins) {
            stagger(subscription, nowMillis);
        }
    }

    /** Refuses a subscription that may be taken later, or elsewhere. */
    private boolean refusedForNow(
            Subscription subscription, DistributionMessage.Subscribe message, long nowMillis)
            throws RejectionException {
        Revision held = message.held();
        Revision current = store.current();
        RejectionReason reason = null;
        String detail = "held: " + held + ", here " + current;
        if (current.isNone()) {
            reason = RejectionReason.STALE_UPSTREAM;
        } else if (!held.isNone() && !held.sameCluster(current)) {
            throw new RejectionException(RejectionReason.OTHER_CLUSTER, detail);
        } else if (held.number() > current.number()) {
            reason = RejectionReason.FUTURE_REVISION;
        } else if (!subscription.subscribed()) {
            boolean snapshot = held.isNone() || held.number() < store.compactedThrough().number();
            if (snapshot && transfers >= limits.admission().maxConcurrentSnapshots()) {
                reason = RejectionReason.BUSY;
                detail = "snapshots: " + transfers;
            } else if (!admission.admit(nowMillis)) {
                reason = RejectionReason.BUSY;
                detail =
                        "subscriptions: "
                                + limits.admission().subscriptionsPerSecond()
                                + " a second";
            }
        }
        if (reason == null) {
            return false;
        }
        long retryAfter =
                reason == RejectionReason.BUSY
                        ? admission.retryAfter(nowMillis)
                        : random.nextLong(
                                limits.timing().initialBackoffMillis(),
                                2 * limits.timing().initialBackoffMillis() + 1);
        reject(subscription, reason, detail, retryAfter, nowMillis);
        return true;
    }

    /**
     * The same subscriber on another connection: that one is dead, though it is not noticed yet. If
     * it is not, two go by one name, and the earlier is told to stay away for long, so that they do
     * not drive each other out all the time.
     */
    private void takeOver(String name, long nowMillis) {
        Subscription earlier = byName.get(name);
        if (earlier != null) {
            reject(
                    earlier,
                    RejectionReason.REPLACED,
                    "subscriber: " + name,
                    limits.timing().maxBackoffMillis(),
                    nowMillis);
        }
    }

    private void noticeUnmatched(Subscription subscription) {
        Scope scope = subscription.scope();
        String detail = firstUnknown("services", scope.services(), store::knowsService);
        if (detail == null) {
            detail = firstUnknown("zones", scope.zones(), store::knowsZone);
        }
        if (detail != null && !scope.everything()) {
            rejectionCounts.count(RejectionReason.MATCHES_NOTHING);
            effects.send(
                    subscription.connection(),
                    new DistributionMessage.Notice(
                            subscription.scopeEpoch(), RejectionReason.MATCHES_NOTHING, detail));
        }
    }

    private static String firstUnknown(
            String field, Collection<String> names, Predicate<String> known) {
        return names.stream()
                .filter(known.negate())
                .findFirst()
                .map(name -> field + " '" + name + "'")
                .orElse(null);
    }

    private void begin(Subscription subscription, Revision held, long nowMillis) {
        Optional<ConfigurationStore.Delta> delta =
                held.isNone() ? Optional.empty() : store.deltaSince(held, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            subscription.requireSnapshot(freshAt);
            flush(subscription, nowMillis);
            return;
        }
        long digest = store.digest(subscription.scope());
        subscription.resume(held, digest);
        if (delta.get().updates().isEmpty()) {
            subscription.tellUnchanged(store.current());
        } else {
            sendDifference(subscription, delta.get().updates(), digest);
        }
        account(subscription);
    }

    private void acknowledge(
            Subscription subscription, DistributionMessage.Acknowledge message, long nowMillis)
            throws RejectionException {
        RequestValidator.checkSubscribed(message, subscription);
        subscription.heard(nowMillis);
        subscription.echo(message.sentMillis());
        if (message.scopeEpoch() < subscription.scopeEpoch()) {
            return;
        }
        RequestValidator.check(message, subscription, store.current());
        if (subscription.transfer() != null) {
            subscription.transfer().taken(message.snapshotParts());
        }
        subscription.acknowledge(message);
        flush(subscription, nowMillis);
        account(subscription);
    }

    private Collection<Subscription> concerned() {
        Optional<List<ConfigurationStore.Change>> changes = store.changesSince(published.number());
        Set<Subscription> concerned = new LinkedHashSet<>();
        if (changes.isEmpty()) {
            concerned.addAll(index.all());
        } else {
            for (ConfigurationStore.Change change : changes.get()) {
                Item item = change.update().item();
                index.concerned(item.service(), item.zone(), concerned::add);
                if (change.serviceBefore() != null) {
                    index.concerned(change.serviceBefore(), change.zoneBefore(), concerned::add);
                }
            }
        }
        concerned.forEach(each -> each.outdate(published.number(), freshAt));
        return concerned;
    }

    /**
     * Sends what the subscription may be sent now; what it may not is coalesced with what comes
     * later.
     */
    private void flush(Subscription subscription, long nowMillis) {
        if (subscription.transfer() != null) {
            continueTransfer(subscription);
        }
        if (subscription.transfer() == null && subscription.outdated()) {
            if (subscription.needsSnapshot()) {
                startTransfer(subscription, nowMillis);
            } else if (subscription.unacknowledged()
                    < limits.admission().maxUnacknowledgedDifferences()) {
                bringUpToDate(subscription, nowMillis);
            }
        }
        account(subscription);
    }

    private void bringUpToDate(Subscription subscription, long nowMillis) {
        Revision from = new Revision(store.current().cluster(), subscription.unchangedThrough());
        Optional<ConfigurationStore.Delta> delta = store.deltaSince(from, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            subscription.requireSnapshot(freshAt);
            startTransfer(subscription, nowMillis);
        } else if (delta.get().updates().isEmpty()) {
            subscription.unchangedAfterAll(store.current().number());
        } else {
            sendDifference(
                    subscription,
                    delta.get().updates(),
                    subscription.digest() + delta.get().digestChange());
        }
    }

    private void sendDifference(Subscription subscription, List<Update> updates, long digest) {
        effects.send(
                subscription.connection(),
                new DistributionMessage.Difference(
                        subscription.scopeEpoch(),
                        subscription.told(),
                        store.current(),
                        digest,
                        updates));
        subscription.tellDifference(store.current(), digest);
    }

    private boolean tooLarge(ConfigurationStore.Delta delta) {
        return delta.updates().size() > limits.sizes().maxDifferenceUpdates()
                || delta.bytes() > limits.sizes().maxDifferenceBytes();
    }

    private void startTransfer(Subscription subscription, long nowMillis) {
        if (transfers >= limits.admission().maxConcurrentSnapshots()
                || !subscription.mayStartTransfer()) {
            return;
        }
        transfers++;
        Scope scope = subscription.scope();
        subscription.startTransfer(
                new SnapshotTransfer(
                        store.current(),
                        store.digest(scope),
                        store.snapshot(scope),
                        limits.sizes(),
                        nowMillis));
        continueTransfer(subscription);
    }

    private void continueTransfer(Subscription subscription) {
        SnapshotTransfer transfer = subscription.transfer();
        while (transfer.mayContinue(limits.admission().maxUnacknowledgedParts())) {
            effects.send(subscription.connection(), transfer.next(subscription.scopeEpoch()));
        }
        if (transfer.complete()) {
            transfers--;
            subscription.finishTransfer();
        }
    }

    private void endTransfer(Subscription subscription) {
        if (subscription.transfer() != null) {
            transfers--;
        }
    }

    private void beat(Subscription subscription, long nowMillis) {
        SnapshotTransfer transfer = subscription.transfer();
        if (transfer != null
                && nowMillis - transfer.startedAt() > limits.timing().snapshotTimeoutMillis()) {
            close(
                    subscription,
                    RejectionReason.SLOW,
                    "snapshot: " + (nowMillis - transfer.startedAt()) + " ms",
                    nowMillis);
            return;
        }
        flush(subscription, nowMillis);
        if (!subscription.told().isNone() && !subscription.outdated()) {
            subscription.tellUnchanged(store.current());
        }
        effects.send(
                subscription.connection(),
                new DistributionMessage.Heartbeat(
                        subscription.scopeEpoch(),
                        subscription.told(),
                        subscription.digest(),
                        staleMillis(subscription, nowMillis),
                        subscription.echoMillis()));
        subscription.heartbeatAt(nowMillis + limits.timing().heartbeatIntervalMillis());
        schedule(subscription);
    }

    private long staleMillis(Subscription subscription, long nowMillis) {
        long at = subscription.freshAt(freshAt);
        return at < nowMillis - MOST_STALE_MILLIS ? MOST_STALE_MILLIS : Math.max(0, nowMillis - at);
    }

    /** Spreads the heartbeats of those who came at once. */
    private void stagger(Subscription subscription, long nowMillis) {
        long interval = limits.timing().heartbeatIntervalMillis();
        timers.remove(subscription);
        subscription.heartbeatAt(nowMillis + random.nextLong(interval / 2, interval + 1));
        schedule(subscription);
    }

    private void schedule(Subscription subscription) {
        long silentAt = subscription.heardAt() + limits.timing().silenceTimeoutMillis();
        subscription.dueAt(Math.min(subscription.heartbeatAt(), silentAt));
        timers.add(subscription);
    }

    private void account(Subscription subscription) {
        SummaryAggregator.Contribution before = subscription.replaceShare();
        tally.replace(before, subscription.share());
    }

    private void reject(
            Subscription subscription,
            RejectionReason reason,
            String detail,
            long retryAfter,
            long nowMillis) {
        effects.send(
                subscription.connection(),
                new DistributionMessage.Rejected(
                        subscription.scopeEpoch(), reason, detail, retryAfter));
        close(subscription, reason, detail, nowMillis);
    }

    private void close(
            Subscription subscription, RejectionReason reason, String detail, long nowMillis) {
        rejectionCounts.count(reason);
        forget(subscription, nowMillis);
        effects.close(subscription.connection(), reason, detail);
    }

    private void forget(Subscription subscription, long nowMillis) {
        connections.remove(subscription.connection());
        timers.remove(subscription);
        if (!subscription.subscribed()) {
            return;
        }
        endTransfer(subscription);
        index.remove(subscription);
        byName.remove(subscription.name(), subscription);
        tally.replace(subscription.share(), SummaryAggregator.Contribution.NOTHING);
        tally.lost(
                subscription.name(),
                subscription.governors(),
                nowMillis + limits.timing().lostSubscriberRetentionMillis());
    }
}
