package rockshift.distribution;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/**
 * Orders subscriptions by the time at which they are next due, for a heartbeat or for the silence
 * timeout. Confined to the publisher's thread.
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

    /**
     * Schedules a subscription for its next heartbeat or its silence timeout, whichever comes
     * first.
     */
    void schedule(Subscription subscription) {
        long silentAtMillis = subscription.lastReceivedAtMillis() + timing.silenceTimeoutMillis();
        subscription.dueAtMillis(Math.min(subscription.heartbeatAtMillis(), silentAtMillis));
        byDueTime.add(subscription);
    }

    /** Schedules the next heartbeat, one interval after the one just sent. */
    void heartbeatSent(Subscription subscription, long nowMillis) {
        subscription.heartbeatAtMillis(nowMillis + timing.heartbeatIntervalMillis());
        schedule(subscription);
    }

    /**
     * Schedules the next heartbeat at a random time, so that the heartbeats of subscriptions that
     * started together are spread over the interval.
     */
    void stagger(Subscription subscription, long nowMillis) {
        long interval = timing.heartbeatIntervalMillis();
        cancel(subscription);
        subscription.heartbeatAtMillis(nowMillis + random.nextLong(interval / 2, interval + 1));
        schedule(subscription);
    }

    void cancel(Subscription subscription) {
        byDueTime.remove(subscription);
    }

    /** Removes and returns the next subscription that is due; null if there is none. */
    Subscription pollDue(long nowMillis) {
        if (byDueTime.isEmpty() || byDueTime.first().dueAtMillis() > nowMillis) {
            return null;
        }
        return byDueTime.pollFirst();
    }
}
