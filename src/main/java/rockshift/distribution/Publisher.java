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
    private final AdmissionControl admission;
    private final ForceTally tally;
    private final Rejections rejections = new Rejections();
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
        this.admission = new AdmissionControl(limits.admission(), random);
        this.tally = new ForceTally(limits.admission().connections());
        this.published = store.current();
        this.generation = store.generation();
    }

    /** A connection came up. */
    public void connected(long connection, long now) {
        if (connections.size() >= limits.admission().connections()) {
            rejections.count(RejectionReason.BUSY);
            String place = "connections: " + connections.size();
            effects.send(
                    connection,
                    new DistributionMessage.Rejected(
                            0, RejectionReason.BUSY, place, admission.retryAfter(now)));
            effects.close(connection, RejectionReason.BUSY, place);
            return;
        }
        Subscription subscription = new Subscription(connection, now);
        connections.put(connection, subscription);
        schedule(subscription);
    }

    /** A connection has ended. Unknown ones are ignored. */
    public void disconnected(long connection, long now) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            forget(subscription, now);
        }
    }

    /** A message came. Those of connections already closed are ignored. */
    public void received(long connection, DistributionMessage message, long now) {
        Subscription subscription = connections.get(connection);
        if (subscription == null) {
            return;
        }
        try {
            if (message instanceof DistributionMessage.Subscribe subscribe) {
                subscribe(subscription, subscribe, now);
            } else if (message instanceof DistributionMessage.Acknowledge acknowledge) {
                acknowledge(subscription, acknowledge, now);
            } else {
                throw new Refusal(
                        RejectionReason.MALFORMED,
                        "a publisher takes no " + message.getClass().getSimpleName());
            }
        } catch (Refusal refusal) {
            reject(subscription, refusal.reason(), refusal.place(), 0, now);
        }
    }

    /** The host could not read what came: counts it, tells the subscriber, ends the connection. */
    public void refused(long connection, RejectionReason reason, String place, long now) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            reject(subscription, reason, place, 0, now);
        }
    }

    /** The store has changed. To be called after each change, before anything else. */
    public void published(long now) {
        if (store.generation() != generation) {
            generation = store.generation();
            index.all().forEach(each -> each.requireSnapshot(freshAt));
            freshAt = NEVER;
            index.all().forEach(each -> flush(each, now));
        } else {
            concerned().forEach(each -> flush(each, now));
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
    public void tick(long now) {
        tally.forget(now);
        while (!timers.isEmpty() && timers.first().dueAt() <= now) {
            Subscription due = timers.pollFirst();
            if (now - due.heardAt() >= limits.timing().silence()) {
                close(due, RejectionReason.SILENT, (now - due.heardAt()) + " ms", now);
            } else if (due.heartbeatAt() <= now) {
                beat(due, now);
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
    public Map<RejectionReason, Long> rejections() {
        return rejections.counts();
    }

    /** Connections open, subscribed or not. */
    public int connections() {
        return connections.size();
    }

    private void subscribe(
            Subscription subscription, DistributionMessage.Subscribe message, long now)
            throws Refusal {
        RequestCheck.check(message, subscription, served, limits);
        if (refusedForNow(subscription, message, now)) {
            return;
        }
        subscription.heard(now);
        subscription.echo(message.sentMillis());
        boolean begins = !subscription.subscribed();
        if (begins) {
            takeOver(message.subscriber(), now);
        } else {
            index.remove(subscription);
            endTransfer(subscription);
        }
        subscription.subscribe(message, begins ? tally.found(message.subscriber()) : 0);
        byName.put(message.subscriber(), subscription);
        index.add(subscription);
        noticeUnmatched(subscription);
        begin(subscription, message.held(), now);
        timers.remove(subscription);
        beat(subscription, now);
        if (begins) {
            stagger(subscription, now);
        }
    }

    /** Refuses a subscription that may be taken later, or elsewhere. */
    private boolean refusedForNow(
            Subscription subscription, DistributionMessage.Subscribe message, long now)
            throws Refusal {
        Revision held = message.held();
        Revision current = store.current();
        RejectionReason reason = null;
        String place = "held: " + held + ", here " + current;
        if (current.isNone()) {
            reason = RejectionReason.STALE_UPSTREAM;
        } else if (!held.isNone() && !held.sameCluster(current)) {
            throw new Refusal(RejectionReason.OTHER_CLUSTER, place);
        } else if (held.number() > current.number()) {
            reason = RejectionReason.FUTURE_REVISION;
        } else if (!subscription.subscribed()) {
            boolean snapshot = held.isNone() || held.number() < store.compactedThrough().number();
            if (snapshot && transfers >= limits.admission().snapshotsAtOnce()) {
                reason = RejectionReason.BUSY;
                place = "snapshots: " + transfers;
            } else if (!admission.admit(now)) {
                reason = RejectionReason.BUSY;
                place =
                        "subscriptions: "
                                + limits.admission().subscriptionsEachSecond()
                                + " a second";
            }
        }
        if (reason == null) {
            return false;
        }
        long retryAfter =
                reason == RejectionReason.BUSY
                        ? admission.retryAfter(now)
                        : random.nextLong(
                                limits.timing().backOff(), 2 * limits.timing().backOff() + 1);
        reject(subscription, reason, place, retryAfter, now);
        return true;
    }

    /**
     * The same subscriber on another connection: that one is dead, though it is not noticed yet. If
     * it is not, two go by one name, and the earlier is told to stay away for long, so that they do
     * not drive each other out all the time.
     */
    private void takeOver(String name, long now) {
        Subscription earlier = byName.get(name);
        if (earlier != null) {
            reject(
                    earlier,
                    RejectionReason.REPLACED,
                    "subscriber: " + name,
                    limits.timing().mostBackOff(),
                    now);
        }
    }

    private void noticeUnmatched(Subscription subscription) {
        Scope scope = subscription.scope();
        String place = firstUnknown("services", scope.services(), store::knowsService);
        if (place == null) {
            place = firstUnknown("zones", scope.zones(), store::knowsZone);
        }
        if (place != null && !scope.everything()) {
            rejections.count(RejectionReason.MATCHES_NOTHING);
            effects.send(
                    subscription.connection(),
                    new DistributionMessage.Notice(
                            subscription.scopeEpoch(), RejectionReason.MATCHES_NOTHING, place));
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

    private void begin(Subscription subscription, Revision held, long now) {
        Optional<ConfigurationStore.Delta> delta =
                held.isNone() ? Optional.empty() : store.deltaSince(held, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            subscription.requireSnapshot(freshAt);
            flush(subscription, now);
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
            Subscription subscription, DistributionMessage.Acknowledge message, long now)
            throws Refusal {
        RequestCheck.checkSubscribed(message, subscription);
        subscription.heard(now);
        subscription.echo(message.sentMillis());
        if (message.scopeEpoch() < subscription.scopeEpoch()) {
            return;
        }
        RequestCheck.check(message, subscription, store.current());
        if (subscription.transfer() != null) {
            subscription.transfer().taken(message.snapshotParts());
        }
        subscription.acknowledge(message);
        flush(subscription, now);
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
    private void flush(Subscription subscription, long now) {
        if (subscription.transfer() != null) {
            continueTransfer(subscription);
        }
        if (subscription.transfer() == null && subscription.outdated()) {
            if (subscription.needsSnapshot()) {
                startTransfer(subscription, now);
            } else if (subscription.unacknowledged() < limits.admission().window()) {
                bringUpToDate(subscription, now);
            }
        }
        account(subscription);
    }

    private void bringUpToDate(Subscription subscription, long now) {
        Revision from = new Revision(store.current().cluster(), subscription.unchangedThrough());
        Optional<ConfigurationStore.Delta> delta = store.deltaSince(from, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            subscription.requireSnapshot(freshAt);
            startTransfer(subscription, now);
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
        return delta.updates().size() > limits.sizes().differenceUpdates()
                || delta.bytes() > limits.sizes().differenceBytes();
    }

    private void startTransfer(Subscription subscription, long now) {
        if (transfers >= limits.admission().snapshotsAtOnce() || !subscription.mayStartTransfer()) {
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
                        now));
        continueTransfer(subscription);
    }

    private void continueTransfer(Subscription subscription) {
        SnapshotTransfer transfer = subscription.transfer();
        while (transfer.mayContinue(limits.admission().snapshotWindow())) {
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

    private void beat(Subscription subscription, long now) {
        SnapshotTransfer transfer = subscription.transfer();
        if (transfer != null && now - transfer.startedAt() > limits.timing().snapshot()) {
            close(
                    subscription,
                    RejectionReason.SLOW,
                    "snapshot: " + (now - transfer.startedAt()) + " ms",
                    now);
            return;
        }
        flush(subscription, now);
        if (!subscription.told().isNone() && !subscription.outdated()) {
            subscription.tellUnchanged(store.current());
        }
        effects.send(
                subscription.connection(),
                new DistributionMessage.Heartbeat(
                        subscription.scopeEpoch(),
                        subscription.told(),
                        subscription.digest(),
                        staleMillis(subscription, now),
                        subscription.echoMillis()));
        subscription.heartbeatAt(now + limits.timing().heartbeat());
        schedule(subscription);
    }

    private long staleMillis(Subscription subscription, long now) {
        long at = subscription.freshAt(freshAt);
        return at < now - MOST_STALE_MILLIS ? MOST_STALE_MILLIS : Math.max(0, now - at);
    }

    /** Spreads the heartbeats of those who came at once. */
    private void stagger(Subscription subscription, long now) {
        long interval = limits.timing().heartbeat();
        timers.remove(subscription);
        subscription.heartbeatAt(now + random.nextLong(interval / 2, interval + 1));
        schedule(subscription);
    }

    private void schedule(Subscription subscription) {
        long silentAt = subscription.heardAt() + limits.timing().silence();
        subscription.dueAt(Math.min(subscription.heartbeatAt(), silentAt));
        timers.add(subscription);
    }

    private void account(Subscription subscription) {
        ForceTally.Share before = subscription.replaceShare();
        tally.replace(before, subscription.share());
    }

    private void reject(
            Subscription subscription,
            RejectionReason reason,
            String place,
            long retryAfter,
            long now) {
        effects.send(
                subscription.connection(),
                new DistributionMessage.Rejected(
                        subscription.scopeEpoch(), reason, place, retryAfter));
        close(subscription, reason, place, now);
    }

    private void close(Subscription subscription, RejectionReason reason, String place, long now) {
        rejections.count(reason);
        forget(subscription, now);
        effects.close(subscription.connection(), reason, place);
    }

    private void forget(Subscription subscription, long now) {
        connections.remove(subscription.connection());
        timers.remove(subscription);
        if (!subscription.subscribed()) {
            return;
        }
        endTransfer(subscription);
        index.remove(subscription);
        byName.remove(subscription.name(), subscription);
        tally.replace(subscription.share(), ForceTally.Share.NOTHING);
        tally.lost(subscription.name(), subscription.governors(), now + limits.timing().remember());
    }
}
