package rockshift.distribution;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides whether a publisher accepts a valid subscription now or asks the subscriber to retry
 * later. Confined to the publisher's thread.
 */
final class SubscriptionAdmission {
    /** Why a subscription is not accepted now, and after how long the subscriber should retry. */
    record Deferral(RejectionReason reason, String detail, long retryAfterMillis) {}

    private record Refusal(RejectionReason reason, String detail) {}

    private final ConfigurationStore store;
    private final Limits limits;
    private final RandomGenerator random;
    private final SnapshotTransfers transfers;
    private final SubscriptionRateLimiter rateLimiter;

    SubscriptionAdmission(
            ConfigurationStore store,
            Limits limits,
            RandomGenerator random,
            SnapshotTransfers transfers) {
        this.store = store;
        this.limits = limits;
        this.random = random;
        this.transfers = transfers;
        this.rateLimiter = new SubscriptionRateLimiter(limits.admission(), random);
    }

    /**
     * Returns why the subscription must be deferred; empty if it is accepted.
     *
     * @throws RejectionException if the subscriber's state is of another cluster
     */
    Optional<Deferral> defer(
            Subscription subscription, DistributionMessage.Subscribe message, long nowMillis)
            throws RejectionException {
        Refusal refusal = revisionRefusal(message.held());
        if (refusal == null && !subscription.subscribed()) {
            refusal = capacityRefusal(message.held(), nowMillis);
        }
        if (refusal == null) {
            return Optional.empty();
        }
        long retryAfterMillis =
                refusal.reason() == RejectionReason.BUSY
                        ? retryWhenBusy(nowMillis)
                        : retryElsewhere();
        return Optional.of(new Deferral(refusal.reason(), refusal.detail(), retryAfterMillis));
    }

    /**
     * Returns the time after which a subscriber rejected as {@code busy} should retry, in
     * milliseconds.
     */
    long retryWhenBusy(long nowMillis) {
        return rateLimiter.retryAfterMillis(nowMillis);
    }

    private long retryElsewhere() {
        long backoffMillis = limits.timing().initialBackoffMillis();
        return random.nextLong(backoffMillis, 2 * backoffMillis + 1);
    }

    private Refusal revisionRefusal(Revision held) throws RejectionException {
        Revision current = store.current();
        String detail = "held: " + held + ", publisher is at " + current;
        if (current.isNone()) {
            return new Refusal(RejectionReason.STALE_UPSTREAM, detail);
        } else if (!held.isNone() && !held.sameCluster(current)) {
            throw new RejectionException(RejectionReason.OTHER_CLUSTER, detail);
        } else if (held.number() > current.number()) {
            return new Refusal(RejectionReason.FUTURE_REVISION, detail);
        }
        return null;
    }

    private Refusal capacityRefusal(Revision held, long nowMillis) {
        boolean snapshot = held.isNone() || held.number() < store.compactedThrough().number();
        if (snapshot && transfers.atLimit()) {
            return new Refusal(
                    RejectionReason.BUSY,
                    "snapshots: "
                            + transfers.active()
                            + " in progress, maximum is "
                            + limits.admission().maxConcurrentSnapshots());
        } else if (!rateLimiter.admit(nowMillis)) {
            return new Refusal(
                    RejectionReason.BUSY,
                    "subscriptions: limit of "
                            + limits.admission().subscriptionsPerSecond()
                            + " per second is reached");
        }
        return null;
    }
}
