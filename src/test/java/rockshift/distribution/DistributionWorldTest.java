package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Simulated worlds by seed, with random faults. A seed that fails is printed and plays the same
 * again.
 */
class DistributionWorldTest {
    private static final int SEEDS = Integer.getInteger("distribution.seeds", 150);
    private static final long FIRST = Long.getLong("distribution.first", 1);
    private static final long FAULTS_MILLIS = 15_000;
    private static final long HEALED_MILLIS = 20_000;

    /** What a sweep of seeds came upon, so that it can be told whether it tried anything. */
    private static final class Coverage {
        private long claims;
        private long snapshots;
        private long differences;
        private long rejections;
    }

    @Test
    void noSeedBreaksAnInvariant() {
        Coverage coverage = new Coverage();
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            DistributionWorld world = play(seed, limits(), limits(), any -> {});
            assertThat(world.checker.violations()).as("seed %d", seed).isEmpty();
            coverage.claims += world.checker.claimsMade();
            coverage.snapshots += world.checker.snapshots();
            coverage.differences += world.checker.differences();
            coverage.rejections +=
                    world.relays.stream()
                            .mapToLong(relay -> relay.publisher().rejectionCounts().size())
                            .sum();
        }
        System.out.println(
                "distribution worlds: "
                        + SEEDS
                        + " seeds, "
                        + coverage.claims
                        + " claims, "
                        + coverage.snapshots
                        + " snapshots, "
                        + coverage.differences
                        + " differences");
        assertThat(coverage.claims).isGreaterThan(SEEDS);
        assertThat(coverage.snapshots).isGreaterThan(10L * SEEDS);
        assertThat(coverage.differences).isGreaterThan(100L * SEEDS);
        assertThat(coverage.rejections).isGreaterThan(SEEDS);
    }

    /** Plays one seed to its end. */
    static DistributionWorld play(
            long seed, Limits limits, Limits checked, Consumer<DistributionWorld> plant) {
        DistributionWorld world =
                new DistributionWorld(seed, new DistributionWorld.Size(3, 3, 12), limits, checked);
        plant.accept(world);
        new RandomFaults(world, FAULTS_MILLIS).begin();
        world.run(FAULTS_MILLIS + HEALED_MILLIS);
        world.checker.checkConverged();
        world.checker.checkInForceEverywhere();
        return world;
    }

    /** Small ones, with a short memory of who was lost. */
    static Limits limits() {
        Limits small = TestLimits.small(40, 5, 20);
        Limits.Timing timing = small.timing();
        return TestLimits.with(
                small,
                new Limits.Timing(
                        timing.heartbeatIntervalMillis(),
                        timing.silenceTimeoutMillis(),
                        timing.connectTimeoutMillis(),
                        timing.initialBackoffMillis(),
                        2_000,
                        timing.staleThresholdMillis(),
                        timing.staleRetryMillis(),
                        timing.acknowledgeIntervalMillis(),
                        timing.snapshotTimeoutMillis(),
                        8_000));
    }
}
