package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * How many subscriptions a publisher takes on in a second. Whoever is refused is told a time to
 * come back, each a later one, so that a crowd spreads over as long as it takes.
 */
final class AdmissionControl {
    private static final long MILLIS_A_SECOND = 1_000;
    private final Limits.Admission limits;
    private final RandomGenerator random;
    private double allowance;
    private long refilledAt;
    private double nextFree;
    private boolean started;

    AdmissionControl(Limits.Admission limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
    }

    /** Whether one more may subscribe now. A second's worth may come at once. */
    boolean admit(long now) {
        refill(now);
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
    long retryAfter(long now) {
        double interval = (double) MILLIS_A_SECOND / limits.subscriptionsEachSecond();
        nextFree = Math.max(nextFree, now + (double) MILLIS_A_SECOND / 2) + interval;
        if (nextFree - now > limits.mostRetryMillis()) {
            nextFree = now + (double) MILLIS_A_SECOND / 2;
        }
        long jitter = random.nextLong(1, MILLIS_A_SECOND / 2);
        return Math.min(limits.mostRetryMillis(), (long) (nextFree - now) + jitter);
    }

    private void refill(long now) {
        double most = limits.subscriptionsEachSecond();
        if (!started) {
            allowance = most;
            started = true;
        } else {
            allowance = Math.min(most, allowance + most * (now - refilledAt) / MILLIS_A_SECOND);
        }
        refilledAt = now;
    }
}
