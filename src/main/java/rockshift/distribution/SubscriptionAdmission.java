package rockshift.distribution;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides whether a publisher takes a valid subscription now, or sends the subscriber away for a
 * while. Owned by the publisher's thread.
 */
final class SubscriptionAdmission {
    /** Why a subscription is not taken now, and when the subscriber should try again. */
    record Deferral(RejectionReason reason, String detail, long retryAfterMillis) {}

    private record Obstacle(RejectionReason reason, String detail) {}

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
     * Empty where the subscription may begin.
     *
     * @throws RejectionException if the subscriber's state is of another cluster
     */
    Optional<Deferral> defer(
            Subscription subscription, DistributionMessage.Subscribe message, long nowMillis)
            throws RejectionException {
        Obstacle obstacle = upstreamObstacle(message.held());
        if (obstacle == null && !subscription.subscribed()) {
            obstacle = capacityObstacle(message.held(), nowMillis);
        }
        if (obstacle == null) {
            return Optional.empty();
        }
        long retryAfterMillis =
                obstacle.reason() == RejectionReason.BUSY
                        ? retryWhenBusy(nowMillis)
                        : retryElsewhere();
        return Optional.of(new Deferral(obstacle.reason(), obstacle.detail(), retryAfterMillis));
    }

    /** When a subscriber that was told {@code busy} should come back, in milliseconds from now. */
    long retryWhenBusy(long nowMillis) {
        return rateLimiter.retryAfterMillis(nowMillis);
    }

    private long retryElsewhere() {
        long backoffMillis = limits.timing().initialBackoffMillis();
        return random.nextLong(backoffMillis, 2 * backoffMillis + 1);
    }

    private Obstacle upstreamObstacle(Revision held) throws RejectionException {
        Revision current = store.current();
        String detail = "held: " + held + ", here " + current;
        if (current.isNone()) {
            return new Obstacle(RejectionReason.STALE_UPSTREAM, detail);
        } else if (!held.isNone() && !held.sameCluster(current)) {
            throw new RejectionException(RejectionReason.OTHER_CLUSTER, detail);
        } else if (held.number() > current.number()) {
            return new Obstacle(RejectionReason.FUTURE_REVISION, detail);
        }
        return null;
    }

    private Obstacle capacityObstacle(Revision held, long nowMillis) {
        boolean snapshot = held.isNone() || held.number() < store.compactedThrough().number();
        if (snapshot && transfers.atLimit()) {
            return new Obstacle(RejectionReason.BUSY, "snapshots: " + transfers.active());
        } else if (!rateLimiter.admit(nowMillis)) {
            return new Obstacle(
                    RejectionReason.BUSY,
                    "subscriptions: " + limits.admission().subscriptionsPerSecond() + " a second");
        }
        return null;
    }
}
