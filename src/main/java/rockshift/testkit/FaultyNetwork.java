package rockshift.testkit;

import java.util.Arrays;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * What the network of a simulated cluster does to messages: cuts between members, loss, doubles and
 * delays.
 */
final class FaultyNetwork {
    /** Tenths of a ms: the longest delays that a disturbed network may have. */
    private static final long[] DELAYS = {100, 1_000, 3_000, 20_000};

    private final boolean[][] cut;
    private double loss;
    private double doubling;
    private long longest;

    FaultyNetwork(int members) {
        cut = new boolean[members][members];
    }

    /** Ends all faults; what is sent then takes so long at most. */
    void calm(long delay) {
        loss = 0;
        doubling = 0;
        longest = delay;
        for (boolean[] row : cut) {
            Arrays.fill(row, false);
        }
    }

    void cut(int from, int to, boolean now) {
        cut[from][to] = now;
    }

    /** Draws how much is lost, doubled and delayed from now on. */
    void disturb(RandomGenerator chance) {
        loss = chance.nextBoolean() ? 0 : chance.nextDouble(0.3);
        doubling = chance.nextBoolean() ? 0 : chance.nextDouble(0.2);
        longest = DELAYS[chance.nextInt(DELAYS.length)];
    }

    /** Whether a message between two members is lost. */
    boolean loses(int from, int to, RandomGenerator chance) {
        return cut[from][to] || loses(chance);
    }

    /** Whether a message on a way that is never cut is lost, as between a client and a member. */
    boolean loses(RandomGenerator chance) {
        return chance.nextDouble() < loss;
    }

    boolean doubles(RandomGenerator chance) {
        return chance.nextDouble() < doubling;
    }

    /** The longest delay of a message, in tenths of a ms. */
    long longest() {
        return longest;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "loses %.2f, doubles %.2f, delays up to %.1f ms",
                loss,
                doubling,
                longest / 10.0);
    }
}
