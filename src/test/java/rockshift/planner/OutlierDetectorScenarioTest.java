package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.failing;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.ReplicaReport.withoutUtilization;

import org.junit.jupiter.api.Test;

/** Which replicas are ejected for their failures, and when they come back. */
class OutlierDetectorScenarioTest {
    /**
     * A replica that fails most attempts is ejected. Once, an ejected replica's capacity of zero
     * left the solver's rates as they were, and it kept its requests.
     */
    @Test
    void ejectedReplicaKeepsOnlyTheMinimumWeightUntilItIsTriedAgain() {
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
    void ejectsNobodyWhenAllReplicasFailAlike() {
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
     * Overloaded replicas failed, were ejected one after the other, and each left more load for the
     * rest. A hung replica, though, responses nothing and so reports no load.
     */
    @Test
    void doesNotEjectReplicaWhoseLoadExplainsItsFailures() {
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
                .as("a hung replica reports no load")
                .anyMatch(line -> line.startsWith("ejected replica=4 scope=all "));
    }

    /**
     * The link between two zones was cut, and attempts across it failed. The replicas were ejected
     * for everyone, so that proxies back from the cut found their own zone ejected.
     */
    @Test
    void ejectsForOtherZonesOnlyWhenOnlyTheirAttemptsFail() {
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
    void ejectsTheWorstFirstAndNoMoreThanTheRestCanCarry() {
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
