package rockshift.distribution;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Brings subscriptions up to date with the store: by a difference if the history reaches back far
 * enough and the difference is small, otherwise by a snapshot. Confined to the publisher's thread.
 */
final class SubscriptionUpdater {
    /** The largest age that is reported; also reported for a state that was never fresh. */
    private static final long MAX_STALE_MILLIS = 1L << 40;

    private static final long NEVER = Long.MIN_VALUE;

    private final ConfigurationStore store;
    private final Limits limits;
    private final Publisher.Transport transport;
    private final SnapshotTransfers transfers;
    private Revision publishedRevision;
    private long publishedGeneration;
    private long freshAtMillis = NEVER;

    SubscriptionUpdater(
            ConfigurationStore store,
            Limits limits,
            Publisher.Transport transport,
            SnapshotTransfers transfers) {
        this.store = store;
        this.limits = limits;
        this.transport = transport;
        this.transfers = transfers;
        this.publishedRevision = store.current();
        this.publishedGeneration = store.generation();
    }

    /** Records that the store held the newest state at this time. */
    void freshAt(long atMillis) {
        freshAtMillis = Math.max(freshAtMillis, atMillis);
    }

    /**
     * Marks the subscriptions that the last change of the store affects as outdated, and returns
     * them.
     */
    Collection<Subscription> markAffectedOutdated(SubscriptionIndex index) {
        Collection<Subscription> affected;
        if (store.generation() == publishedGeneration) {
            affected = affected(index);
            affected.forEach(
                    each ->
                            each.delivery()
                                    .markOutdated(publishedRevision.number(), freshAtMillis));
        } else {
            publishedGeneration = store.generation();
            affected = index.all();
            affected.forEach(each -> each.delivery().requireSnapshot(freshAtMillis));
            freshAtMillis = NEVER;
        }
        publishedRevision = store.current();
        return affected;
    }

    /**
     * Starts a subscription. It resumes from the revision that the subscriber holds if possible,
     * otherwise it gets a snapshot.
     */
    void start(Subscription subscription, Revision held, long nowMillis) {
        Optional<ScopeDelta> delta =
                held.isNone() ? Optional.empty() : store.deltaSince(held, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            subscription.delivery().requireSnapshot(freshAtMillis);
            flush(subscription, nowMillis);
            return;
        }
        long digest = store.digest(subscription.scope());
        subscription.delivery().resumeFrom(held, digest);
        if (delta.get().updates().isEmpty()) {
            subscription.delivery().advanceTo(store.current());
        } else {
            sendDifference(subscription, delta.get().updates(), digest);
        }
    }

    /** Sends what the subscription may be sent now; the rest is coalesced with later changes. */
    void flush(Subscription subscription, long nowMillis) {
        DeliveryState delivery = subscription.delivery();
        if (delivery.transfer() != null) {
            transfers.proceed(subscription);
        }
        if (delivery.transfer() != null || !delivery.outdated()) {
            return;
        }
        if (delivery.needsSnapshot()) {
            transfers.start(subscription, nowMillis);
        } else if (delivery.unacknowledged() < limits.admission().maxUnacknowledgedDifferences()) {
            bringUpToDate(subscription, nowMillis);
        }
    }

    /**
     * Sends a heartbeat with the revision that the subscriber is at after all preceding messages.
     */
    void sendHeartbeat(Subscription subscription, long nowMillis) {
        DeliveryState delivery = subscription.delivery();
        if (!delivery.sentRevision().isNone() && !delivery.outdated()) {
            delivery.advanceTo(store.current());
        }
        transport.send(
                subscription.connection(),
                new DistributionMessage.Heartbeat(
                        subscription.scopeEpoch(),
                        delivery.sentRevision(),
                        delivery.sentDigest(),
                        staleMillis(delivery, nowMillis),
                        subscription.echoMillis()));
    }

    private Collection<Subscription> affected(SubscriptionIndex index) {
        Optional<List<ItemChange>> changes = store.changesSince(publishedRevision.number());
        if (changes.isEmpty()) {
            return index.all();
        }
        Set<Subscription> affected = new LinkedHashSet<>();
        for (ItemChange change : changes.get()) {
            Item item = change.update().item();
            index.forEachMatching(item.service(), item.zone(), affected::add);
            if (change.serviceBefore() != null) {
                index.forEachMatching(change.serviceBefore(), change.zoneBefore(), affected::add);
            }
        }
        return affected;
    }

    private void bringUpToDate(Subscription subscription, long nowMillis) {
        DeliveryState delivery = subscription.delivery();
        Revision from = new Revision(store.current().cluster(), delivery.unchangedThrough());
        Optional<ScopeDelta> delta = store.deltaSince(from, subscription.scope());
        if (delta.isEmpty() || tooLarge(delta.get())) {
            delivery.requireSnapshot(freshAtMillis);
            transfers.start(subscription, nowMillis);
        } else if (delta.get().updates().isEmpty()) {
            delivery.changesCancelledOut(store.current().number());
        } else {
            long digest = delivery.sentDigest() + delta.get().digestChange();
            sendDifference(subscription, delta.get().updates(), digest);
        }
    }

    private void sendDifference(Subscription subscription, List<Update> updates, long digest) {
        transport.send(
                subscription.connection(),
                new DistributionMessage.Difference(
                        subscription.scopeEpoch(),
                        subscription.delivery().sentRevision(),
                        store.current(),
                        digest,
                        updates));
        subscription.delivery().differenceSent(store.current(), digest);
    }

    private boolean tooLarge(ScopeDelta delta) {
        return delta.updates().size() > limits.sizes().maxDifferenceUpdates()
                || delta.bytes() > limits.sizes().maxDifferenceBytes();
    }

    private long staleMillis(DeliveryState delivery, long nowMillis) {
        long atMillis = delivery.freshAtMillis(freshAtMillis);
        return atMillis < nowMillis - MAX_STALE_MILLIS
                ? MAX_STALE_MILLIS
                : Math.max(0, nowMillis - atMillis);
    }
}
