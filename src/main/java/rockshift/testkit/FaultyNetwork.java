package rockshift.testkit;

import java.util.Arrays;
import java.util.Locale;
import java.util.random.RandomGenerator;
import rockshift.model.Ticks;

/**
 * The simulated network of a cluster: injects partitions, message loss, duplication and delay.
 * Single-threaded, in simulated time.
 */
final class FaultyNetwork {
    /** The maximum message delays that {@link #disturb} chooses from. */
    private static final long[] DISTURBED_DELAYS_TICKS = {100, 1_000, 3_000, 20_000};

    private final boolean[][] partition;
    private double lossRatio;
    private double duplicateRatio;
    private long maxDelayTicks;

    FaultyNetwork(int members) {
        partition = new boolean[members][members];
    }

    /** Ends all faults and sets the maximum message delay. */
    void heal(long newMaxDelayTicks) {
        lossRatio = 0;
        duplicateRatio = 0;
        maxDelayTicks = newMaxDelayTicks;
        for (boolean[] row : partition) {
            Arrays.fill(row, false);
        }
    }

    void partition(int from, int to, boolean partitioned) {
        partition[from][to] = partitioned;
    }

    /** Draws new ratios of loss and duplication and a new maximum delay. */
    void disturb(RandomGenerator random) {
        lossRatio = random.nextBoolean() ? 0 : random.nextDouble(0.3);
        duplicateRatio = random.nextBoolean() ? 0 : random.nextDouble(0.2);
        maxDelayTicks = DISTURBED_DELAYS_TICKS[random.nextInt(DISTURBED_DELAYS_TICKS.length)];
    }

    /** Whether a message between two members is lost. */
    boolean loses(int from, int to, RandomGenerator random) {
        return partition[from][to] || loses(random);
    }

    /** Whether a message is lost on a link without partitions, as between client and member. */
    boolean loses(RandomGenerator random) {
        return random.nextDouble() < lossRatio;
    }

    boolean duplicates(RandomGenerator random) {
        return random.nextDouble() < duplicateRatio;
    }

    /** The maximum delay of a message, in ticks of 100 us. */
    long maxDelayTicks() {
        return maxDelayTicks;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "loss ratio %.2f, duplicate ratio %.2f, delay up to %.1f ms",
                lossRatio,
                duplicateRatio,
                maxDelayTicks / (double) Ticks.TICKS_PER_MILLI);
    }
}
