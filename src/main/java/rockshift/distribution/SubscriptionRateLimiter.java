package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * How many subscriptions a publisher takes on in a second. Whoever is refused is told a time to
 * come back, each a later one, so that a crowd spreads over as long as it takes.
 */
final class SubscriptionRateLimiter {
    private static final long MILLIS_A_SECOND = 1_000;
    private final Limits.Admission limits;
    private final RandomGenerator random;
    private double allowance;
    private long refilledAt;
    private double nextFree;
    private boolean started;

    SubscriptionRateLimiter(Limits.Admission limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    /** Whether one more may subscribe now. A second's worth may come at once. */
    boolean admit(long nowMillis) {
        refill(nowMillis);
        if (allowance < 1) {
            return false;
        }
        allowance--;
        return true;
    }

    /**
     * When someone refused should come back: the next time that is not promised yet, and some
     * jitter.
     */
    long retryAfter(long nowMillis) {
        double interval = (double) MILLIS_A_SECOND / limits.subscriptionsPerSecond();
        nextFree = Math.max(nextFree, nowMillis + (double) MILLIS_A_SECOND / 2) + interval;
        if (nextFree - nowMillis > limits.maxRetryMillis()) {
            nextFree = nowMillis + (double) MILLIS_A_SECOND / 2;
        }
        long jitter = random.nextLong(1, MILLIS_A_SECOND / 2);
        return Math.min(limits.maxRetryMillis(), (long) (nextFree - nowMillis) + jitter);
    }

    private void refill(long nowMillis) {
        double most = limits.subscriptionsPerSecond();
        if (!started) {
            allowance = most;
            started = true;
        } else {
            allowance =
                    Math.min(most, allowance + most * (nowMillis - refilledAt) / MILLIS_A_SECOND);
        }
        refilledAt = nowMillis;
    }
}
