package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * How long to wait before the next connection: doubled each time up to a bound, half of it by
 * chance.
 */
final class ReconnectBackoff {
    private static final int MOST_DOUBLINGS = 20;
    private final Limits.Timing timing;
    private final RandomGenerator random;
    private int attempts;

    ReconnectBackoff(Limits.Timing timing, RandomGenerator random) {
        this.timing = timing;
        this.random = random;
    }

    long next() {
        long whole =
                Math.min(
                        timing.maxBackoffMillis(),
                        timing.initialBackoffMillis() << Math.min(attempts, MOST_DOUBLINGS));
        attempts++;
        return whole / 2 + upTo(whole / 2);
    }

    /** A time by chance, no longer than this. */
    long upTo(long most) {
        return random.nextLong(most + 1);
    }

    /** A connection has proved good. */
    void reset() {
        attempts = 0;
    }
}
