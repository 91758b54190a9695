package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next connection: doubled each time up to a bound, half of it random.
 * Owned by the subscriber's thread.
 */
final class ReconnectBackoff {
    private static final int MAX_DOUBLINGS = 20;
    private final Limits.Timing timing;
    private final RandomGenerator random;
    private int attempts;

    ReconnectBackoff(Limits.Timing timing, RandomGenerator random) {
        this.timing = timing;
        this.random = random;
    }

    long nextMillis() {
        long upperMillis =
                Math.min(
                        timing.maxBackoffMillis(),
                        timing.initialBackoffMillis() << Math.min(attempts, MAX_DOUBLINGS));
        attempts++;
        return upperMillis / 2 + upToMillis(upperMillis / 2);
    }

    /** A random time, no longer than this. */
    long upToMillis(long maxMillis) {
        return random.nextLong(maxMillis + 1);
    }

    /** A connection has proved good: the next wait is the shortest again. */
    void reset() {
        attempts = 0;
    }
}
