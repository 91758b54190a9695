package rockshift.distribution;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Orders subscriptions by when they need attention: for a heartbeat, or as silent. Owned by the
 * publisher's thread.
 */
final class SubscriptionTimers {
    private final Limits.Timing timing;
    private final RandomGenerator random;
    private final TreeSet<Subscription> byDueTime =
            new TreeSet<>(
                    Comparator.comparingLong((Subscription each) -> each.dueAtMillis())
                            .thenComparingLong(Subscription::connection));

    SubscriptionTimers(Limits.Timing timing, RandomGenerator random) {
        this.timing = timing;
        this.random = random;
    }

    /** Has it looked at again for its next heartbeat, or once it has been silent for too long. */
    void schedule(Subscription subscription) {
        long silentAtMillis = subscription.lastReceivedAtMillis() + timing.silenceTimeoutMillis();
        subscription.dueAtMillis(Math.min(subscription.heartbeatAtMillis(), silentAtMillis));
        byDueTime.add(subscription);
    }

    /** A heartbeat was sent; the next one comes an interval later. */
    void heartbeatSent(Subscription subscription, long nowMillis) {
        subscription.heartbeatAtMillis(nowMillis + timing.heartbeatIntervalMillis());
        schedule(subscription);
    }

    /** Spreads the heartbeats of subscriptions that began at once over the interval. */
    void stagger(Subscription subscription, long nowMillis) {
        long interval = timing.heartbeatIntervalMillis();
        cancel(subscription);
        subscription.heartbeatAtMillis(nowMillis + random.nextLong(interval / 2, interval + 1));
        schedule(subscription);
    }

    void cancel(Subscription subscription) {
        byDueTime.remove(subscription);
    }

    /** Takes out the next one that is due; null if none is. */
    Subscription pollDue(long nowMillis) {
        if (byDueTime.isEmpty() || byDueTime.first().dueAtMillis() > nowMillis) {
            return null;
        }
        return byDueTime.pollFirst();
    }
}
