package rockshift.testkit;

import java.util.Arrays;
import java.util.Locale;
import java.util.random.RandomGenerator;
import rockshift.model.Ticks;

/**
 * What the network of a simulated cluster does to messages: cuts between members, loss, doubles and
 * delays.
 */
final class FaultyNetwork {
    /** Tenths of a ms: the longest delays that a disturbed network may have. */
    private static final long[] DISTURBED_DELAYS_TICKS = {100, 1_000, 3_000, 20_000};

    private final boolean[][] partition;
    private double lossRatio;
    private double duplicateRatio;
    private long maxDelayTicks;

    FaultyNetwork(int members) {
        partition = new boolean[members][members];
    }

    /** Ends all faults; what is sent then takes so long at most. */
    void heal(long delayTicks) {
        lossRatio = 0;
        duplicateRatio = 0;
        maxDelayTicks = delayTicks;
        for (boolean[] row : partition) {
            Arrays.fill(row, false);
        }
    }

    void partition(int from, int to, boolean partitioned) {
        partition[from][to] = partitioned;
    }

    /** Draws how much is lost, doubled and delayed from now on. */
    void disturb(RandomGenerator random) {
        lossRatio = random.nextBoolean() ? 0 : random.nextDouble(0.3);
        duplicateRatio = random.nextBoolean() ? 0 : random.nextDouble(0.2);
        maxDelayTicks = DISTURBED_DELAYS_TICKS[random.nextInt(DISTURBED_DELAYS_TICKS.length)];
    }

    /** Whether a message between two members is lost. */
    boolean loses(int from, int to, RandomGenerator random) {
        return partition[from][to] || loses(random);
    }

    /** Whether a message on a way that is never cut is lost, as between a client and a member. */
    boolean loses(RandomGenerator random) {
        return random.nextDouble() < lossRatio;
    }

    boolean duplicates(RandomGenerator random) {
        return random.nextDouble() < duplicateRatio;
    }

    /** The longest delay of a message, in tenths of a ms. */
    long maxDelayTicks() {
        return maxDelayTicks;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "loses %.2f, doubles %.2f, delays up to %.1f ms",
                lossRatio,
                duplicateRatio,
                maxDelayTicks / (double) Ticks.TICKS_PER_MILLI);
    }
}
