package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * A token bucket for new subscriptions. Rejected subscribers are given successive times to retry
 * after, so that a fleet that reconnects all at once is spread over the time that its admission
 * takes. Confined to the publisher's thread.
 */
final class SubscriptionRateLimiter {
    private static final long MILLIS_PER_SECOND = 1_000;
    private final Limits.Admission limits;
    private final RandomGenerator random;
    private double permits;
    private long refilledAtMillis;
    private double nextSlotMillis;
    private boolean started;

    SubscriptionRateLimiter(Limits.Admission limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    /**
     * Returns whether one more subscription is admitted now. The bucket holds at most the permits
     * of one second.
     */
    boolean admit(long nowMillis) {
        refill(nowMillis);
        if (permits < 1) {
            return false;
        }
        permits--;
        return true;
    }

    /**
     * Returns the time after which a rejected subscriber should retry, in milliseconds: the next
     * slot not yet given to another subscriber, plus jitter.
     */
    long retryAfterMillis(long nowMillis) {
        double intervalMillis = (double) MILLIS_PER_SECOND / limits.subscriptionsPerSecond();
        nextSlotMillis =
                Math.max(nextSlotMillis, nowMillis + (double) MILLIS_PER_SECOND / 2)
                        + intervalMillis;
        if (nextSlotMillis - nowMillis > limits.maxRetryMillis()) {
            nextSlotMillis = nowMillis + (double) MILLIS_PER_SECOND / 2;
        }
        long jitterMillis = random.nextLong(1, MILLIS_PER_SECOND / 2);
        return Math.min(
                limits.maxRetryMillis(), (long) (nextSlotMillis - nowMillis) + jitterMillis);
    }

    private void refill(long nowMillis) {
        double maxPermits = limits.subscriptionsPerSecond();
        if (!started) {
            permits = maxPermits;
            started = true;
        } else {
            permits =
                    Math.min(
                            maxPermits,
                            permits
                                    + maxPermits
                                            * (nowMillis - refilledAtMillis)
                                            / MILLIS_PER_SECOND);
        }
        refilledAtMillis = nowMillis;
    }
}
