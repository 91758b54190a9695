package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * A token bucket for subscriptions. Those that are rejected are told a time to come back, each a
 * later one, so that a fleet that reconnects at once spreads over as long as it takes. Owned by the
 * publisher's thread.
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

    /** Whether one more may subscribe now. The bucket takes the permits of one second. */
    boolean admit(long nowMillis) {
        refill(nowMillis);
        if (permits < 1) {
            return false;
        }
        permits--;
        return true;
    }

    /**
     * In how long a rejected subscriber should come back: the next slot that was not given to
     * another, and some jitter.
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
