package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * The delay before the next connection attempt: doubled on each attempt up to a maximum, with half
 * of it random. Confined to the subscriber's thread.
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
        return upperMillis / 2 + randomUpToMillis(upperMillis / 2);
    }

    /** Returns a random time up to the given maximum, inclusive. */
    long randomUpToMillis(long maxMillis) {
        return random.nextLong(maxMillis + 1);
    }

    /** Resets the delay to its minimum after a connection has proved stable. */
    void reset() {
        attempts = 0;
    }
}
