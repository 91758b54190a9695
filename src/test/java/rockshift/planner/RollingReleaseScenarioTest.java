package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.startedAt;
import static rockshift.planner.TestEndpoints.zoneOf;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.model.Endpoint;

/** Rolling release that replaces replicas faster than their successors finish slow start. */
class RollingReleaseScenarioTest {
    private static final int REPLICAS = 60;
    private static final int PROXIES = 60;
    private static final int SECONDS = 40;

    /** From then until the end of the release, six replicas are replaced every two seconds. */
    private static final int RELEASE_START_SECOND = 8;

    private static final int RELEASE_END_SECOND = 20;
    private static final int REPLICAS_PER_REPLACEMENT = 6;

    /** Difference between the numbers of a successor and its predecessor. */
    private static final long SUCCESSOR_OFFSET = 100;

    private static final int HIGHEST_REPLICA = 199;
    private static final long SLOW_START_TICKS = 18 * SECOND;

    private final Map<Long, Long> successorStarts = new TreeMap<>();

    /**
     * Half of a table's replicas were slow-starting. Each was limited against a sum in which the
     * others were not limited yet, so that the next one got three quarters of the table and a proxy
     * with a high rate overloaded it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void noSlowStartingReplicaDominatesATable(long seed) {
        Random random = new Random(seed);
        FakeController controller =
                FakeController.largeFleet(
                        settings ->
                                settings.channelQueueLimitEntries(20_000)
                                        .channelEntriesPerSecond(20_000)
                                        .slowStartTicks(SLOW_START_TICKS));
        double[] attemptsPerSecond = new double[HIGHEST_REPLICA + 1];
        for (int replica = 0; replica < attemptsPerSecond.length; replica++) {
            attemptsPerSecond[replica] = 4 + 8 * random.nextDouble();
        }
        for (int second = 0; second < SECONDS; second++) {
            if (second >= RELEASE_START_SECOND && second % 2 == 0 && second < RELEASE_END_SECOND) {
                replaceReplicas(controller, second);
                controller.runTurn();
                assertNoSlowStartingReplicaDominatesATable(controller);
            }
            reportReplicas(controller, second, attemptsPerSecond, random);
            reportUsage(controller, random);
            controller.runFor(1);
            assertNoSlowStartingReplicaDominatesATable(controller);
        }
    }

    private void replaceReplicas(FakeController controller, int second) {
        List<Endpoint> changes = new ArrayList<>();
        for (int i = 0; i < REPLICAS_PER_REPLACEMENT; i++) {
            long replaced = (second - RELEASE_START_SECOND) / 2 * REPLICAS_PER_REPLACEMENT + i + 1;
            long successor = SUCCESSOR_OFFSET + replaced;
            changes.add(gone(replaced));
            changes.add(startedAt(successor, controller.nowTicks()));
            successorStarts.put(successor, controller.nowTicks());
        }
        controller.changeEndpoints(changes);
    }

    private boolean isRunning(long replica, int second) {
        if (replica > REPLICAS) {
            return successorStarts.containsKey(replica);
        }
        long replacedAt = (replica - 1) / REPLICAS_PER_REPLACEMENT * 2 + RELEASE_START_SECOND;
        return second < RELEASE_START_SECOND || replacedAt > second;
    }

    private void reportReplicas(
            FakeController controller, int second, double[] attemptsPerSecond, Random random) {
        for (long replica = 1; replica <= HIGHEST_REPLICA; replica++) {
            if (isRunning(replica, second)) {
                int attempts = (int) (attemptsPerSecond[(int) replica] * random.nextDouble());
                double utilization = Math.min(1, 0.3 + 0.7 * random.nextDouble());
                controller.reportReplica(
                        zoneOf(replica), healthy(replica, attempts, utilization), SECOND);
            }
        }
    }

    private static void reportUsage(FakeController controller, Random random) {
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            int requests = proxy % 7 == 0 ? 1 + random.nextInt(20) : random.nextInt(3);
            controller.reportUsage(proxy, SEARCH, requests, SECOND);
        }
    }

    /**
     * Guards against a table whose slow-starting entries depend on one replica. A client's rate
     * grew 40-fold within 3 s, its proxy skipped the started replicas after failures there, and one
     * of five slow-starting replicas had a third of their total weight.
     */
    private void assertNoSlowStartingReplicaDominatesATable(FakeController controller) {
        for (TreeMap<Long, Double> table : controller.tables().values()) {
            double sum = sumOfWeights(table);
            Map<Long, Double> slowStarting = new TreeMap<>(table);
            slowStarting
                    .keySet()
                    .removeIf(replica -> !isSlowStarting(replica, controller.nowTicks()));
            double sumOfSlowStarting = sumOfWeights(slowStarting);
            slowStarting.forEach(
                    (replica, weight) -> {
                        if (table.size() > 5) {
                            assertThat(weight / sum)
                                    .as(
                                            "weight fraction of replica %d in a table of %d",
                                            replica, table.size())
                                    .isLessThan(0.3);
                        }
                        if (slowStarting.size() > 3 && slowStarting.size() < table.size()) {
                            assertThat(weight / sumOfSlowStarting)
                                    .as(
                                            "weight fraction of replica %d among %d slow-starting",
                                            replica, slowStarting.size())
                                    .isLessThan(0.6);
                        }
                    });
        }
    }

    private boolean isSlowStarting(long replica, long nowTicks) {
        Long startedAtTicks = successorStarts.get(replica);
        return startedAtTicks != null && nowTicks - startedAtTicks < SLOW_START_TICKS;
    }

    private static double sumOfWeights(Map<Long, Double> table) {
        return table.values().stream().mapToDouble(weight -> weight).sum();
    }
}
