package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.failing;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.ReplicaReport.withoutUtilization;

import org.junit.jupiter.api.Test;

/** Which replicas are ejected for their failures, and when they return. */
class OutlierDetectorScenarioTest {
    /**
     * The capacity of an ejected replica is 0; this left the solver's rates as they were, and the
     * replica kept its requests.
     */
    @Test
    void failingReplicaKeepsOnlyFloorWeightUntilEjectionEnds() {
        FakeController controller = FakeController.create().start(5);
        controller
                .runSecond(
                        healthy(1, 20, 0.5),
                        healthy(2, 20, 0.5),
                        healthy(3, 20, 0.5),
                        healthy(4, 20, 0.5),
                        failing(5, 20, 14, 0.2))
                .runFor(1);
        assertThat(controller.logLines())
                .anyMatch(line -> line.startsWith("ejected replica=5 scope=all "));
        assertThat(controller.weightFraction(0, 5)).isPositive().isLessThan(0.01);
        controller.runFor(12);
        assertThat(controller.logLines()).contains("ejectionEnded replica=5 scope=all");
        assertThat(controller.weightFraction(0, 5)).isGreaterThan(0.1);
    }

    @Test
    void nothingIsEjectedIfAllReplicasFailAlike() {
        FakeController controller = FakeController.create().start(4);
        controller.runSeconds(
                5,
                failing(1, 20, 12, 0.4),
                failing(2, 20, 10, 0.4),
                failing(3, 20, 14, 0.4),
                failing(4, 20, 9, 0.4));
        assertThat(controller.logLines()).noneMatch(line -> line.contains("ejected"));
    }

    /**
     * Overloaded replicas failed and were ejected one after the other, and each left more load for
     * the rest. A hung replica does not respond and so reports no load.
     */
    @Test
    void overloadedReplicaIsNotEjectedButHungReplicaIs() {
        FakeController controller = FakeController.create().start(4);
        controller
                .runSecond(
                        healthy(1, 20, 0.5),
                        healthy(2, 20, 0.5),
                        healthy(3, 20, 0.5),
                        failing(4, 20, 14, 1.0))
                .runFor(2);
        assertThat(controller.logLines()).noneMatch(line -> line.contains("ejected"));
        controller
                .runSecond(
                        healthy(1, 20, 0.5),
                        healthy(2, 20, 0.5),
                        healthy(3, 20, 0.5),
                        withoutUtilization(4, 40, 40))
                .runFor(2);
        assertThat(controller.logLines())
                .as("log lines after the failures of a replica without a load report")
                .anyMatch(line -> line.startsWith("ejected replica=4 scope=all "));
    }

    /**
     * In a network partition between two zones, attempts across it failed and the replicas were
     * ejected for all proxies. After the partition, proxies found the replicas of their own zone
     * ejected.
     */
    @Test
    void replicaThatFailsForOtherZonesOnlyIsEjectedForTheseOnly() {
        FakeController controller = FakeController.create().start(6);
        controller.runSecond(allHealthy(6, 20, 0.5));
        controller.reportReplica("east", withoutUtilization(2, 20, 20), SECOND);
        controller.runFor(1);
        assertThat(controller.logLines())
                .anyMatch(line -> line.startsWith("ejected replica=2 scope=otherZones "));
        assertThat(controller.weightFraction(0, 2)).isLessThan(0.01);
        assertThat(controller.weightFraction(1, 2)).isGreaterThan(0.1);
    }

    /**
     * Of 30 replicas 13 failed half of their attempts; all 13 were ejected, and the rest was
     * overloaded.
     */
    @Test
    void ejectsMostFailuresFirstAndLeavesEnoughReplicas() {
        FakeController controller = FakeController.create().start(8);
        controller.runSeconds(
                6,
                failing(1, 20, 10, 0.4),
                withoutUtilization(2, 20, 20),
                failing(3, 20, 14, 0.4),
                healthy(4, 20, 0.4),
                healthy(5, 20, 0.4),
                healthy(6, 20, 0.4),
                healthy(7, 20, 0.4),
                healthy(8, 20, 0.4));
        assertThat(
                        controller.logLines().stream()
                                .filter(
                                        line ->
                                                line.startsWith("ejected ")
                                                        && line.contains(" scope=all "))
                                .map(line -> line.split(" ")[1]))
                .containsExactlyInAnyOrder("replica=2", "replica=3");
    }
}
