package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Simulations with random faults, one per seed. The message of a failure includes the seed, which
 * reproduces the run.
 */
class DistributionSimulationTest {
    private static final int SEEDS = Integer.getInteger("distribution.seeds", 150);
    private static final long FIRST = Long.getLong("distribution.first", 1);
    private static final long FAULTS_MILLIS = 15_000;
    private static final long RECOVERY_MILLIS = 20_000;

    /** What the runs covered, so that a sweep that exercised nothing is noticed. */
    private static final class Coverage {
        private long inForceReports;
        private long snapshots;
        private long differences;
        private long rejections;
    }

    @Test
    void randomFaultsViolateNoInvariant() {
        Coverage coverage = new Coverage();
        for (long seed = FIRST; seed < FIRST + SEEDS; seed++) {
            DistributionSimulation simulation = simulate(seed, limits(), limits(), any -> {});
            assertThat(simulation.checker.violations()).as("seed %d", seed).isEmpty();
            coverage.inForceReports += simulation.checker.checkedReports();
            coverage.snapshots += simulation.checker.snapshots();
            coverage.differences += simulation.checker.differences();
            coverage.rejections +=
                    simulation.relays.stream()
                            .mapToLong(relay -> relay.publisher().rejectionCounts().size())
                            .sum();
        }
        System.out.println(
                "distribution simulation: "
                        + SEEDS
                        + " seeds, "
                        + coverage.inForceReports
                        + " in-force reports, "
                        + coverage.snapshots
                        + " snapshots, "
                        + coverage.differences
                        + " differences");
        assertThat(coverage.inForceReports).isGreaterThan(SEEDS);
        assertThat(coverage.snapshots).isGreaterThan(10L * SEEDS);
        assertThat(coverage.differences).isGreaterThan(100L * SEEDS);
        assertThat(coverage.rejections).isGreaterThan(SEEDS);
    }

    /** Runs the simulation of one seed to its end. */
    static DistributionSimulation simulate(
            long seed,
            Limits limits,
            Limits checked,
            Consumer<DistributionSimulation> injectFault) {
        DistributionSimulation simulation =
                new DistributionSimulation(
                        seed, new DistributionSimulation.Size(3, 3, 12), limits, checked);
        injectFault.accept(simulation);
        new RandomFaults(simulation, FAULTS_MILLIS).start();
        simulation.run(FAULTS_MILLIS + RECOVERY_MILLIS);
        simulation.checker.checkConverged();
        simulation.checker.checkInForceEverywhere();
        return simulation;
    }

    /** Small limits, with a short retention of lost subscribers. */
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
