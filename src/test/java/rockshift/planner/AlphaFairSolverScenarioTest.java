package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.healthy;

import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.settings.ClassSettings;

/** Rates that the alpha-fair solver converges to, as the tables of a whole planner show them. */
class AlphaFairSolverScenarioTest {
    /**
     * The optimum is calculated by hand: with alpha 1, replicas are used in proportion to their
     * capacities, here three to one. An entry within a tenth of its target is not sent again.
     */
    @Test
    void weightsConvergeToFairOptimum() {
        FakeController controller = FakeController.create().start(2);
        controller.runSeconds(30, healthy(1, 60, 0.5), healthy(2, 20, 0.5));
        double loadOfFirst =
                (controller.weightFraction(0, 1) + controller.weightFraction(1, 1)) / 2;
        assertThat(loadOfFirst).isCloseTo(0.75, within(0.075));
    }

    /**
     * Crossing zones has a price: no replica is overloaded, and no request crosses zones
     * needlessly.
     */
    @Test
    void requestsCrossZonesOnlyIfOwnZoneCannotServeThem() {
        FakeController controller =
                FakeController.with(settings -> settings.zoneCrossingPrice(0.06)).start(4);
        controller.runSeconds(60, allHealthy(4, 10, 0.5));
        assertThat(controller.weightFraction(0, 1) + controller.weightFraction(0, 3))
                .isGreaterThan(0.9);
        assertThat(controller.weightFraction(1, 2) + controller.weightFraction(1, 4))
                .isGreaterThan(0.9);
        for (long replica = 1; replica <= 4; replica++) {
            assertThat(
                            controller.weightFraction(0, replica)
                                    + controller.weightFraction(1, replica))
                    .isCloseTo(0.5, within(0.06));
        }
    }

    /**
     * A replica's capacity falls to a third. On the way to the new optimum, it is never given more
     * than its former share.
     */
    @Test
    void publishedWeightsStayFeasibleWhileCapacityFalls() {
        FakeController controller = FakeController.create().start(3);
        controller.runSeconds(20, allHealthy(3, 80, 0.5));
        for (int second = 0; second < 20; second++) {
            controller.runSecond(healthy(1, 40, 0.75), healthy(2, 80, 0.5), healthy(3, 80, 0.5));
            double loadOfFirst =
                    (controller.weightFraction(0, 1) + controller.weightFraction(1, 1)) / 2;
            assertThat(loadOfFirst).isLessThan(0.35);
        }
        assertThat((controller.weightFraction(0, 1) + controller.weightFraction(1, 1)) / 2)
                .isCloseTo(1.0 / 7, within(0.05));
    }

    /**
     * With slow links between zones, responses from the other zone missed the latency objective,
     * while each zone could have served its own requests.
     */
    @Test
    void ownZoneIsPreferredIfResponsesOfOtherMissObjective() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.classes(
                                                List.of(
                                                        ClassSettings.named(SEARCH)
                                                                .latencyObjectiveTicks(SECOND)
                                                                .build())))
                        .start(4);
        for (int second = 0; second < 30; second++) {
            for (long replica = 1; replica <= 4; replica++) {
                boolean east = replica % 2 == 1;
                ReplicaReport report = healthy(replica, 20, 0.5);
                controller.reportReplica(
                        "east", report.withLatencyTicks(east ? 2_000 : 15_000), SECOND);
                controller.reportReplica(
                        "west", report.withLatencyTicks(east ? 15_000 : 2_000), SECOND);
            }
            controller.reportUsage(0, SEARCH, 80, SECOND);
            controller.reportUsage(1, SEARCH, 80, SECOND);
            controller.runFor(1);
        }
        assertThat(controller.weightFraction(0, 1) + controller.weightFraction(0, 3))
                .isGreaterThan(0.8);
        assertThat(controller.weightFraction(1, 2) + controller.weightFraction(1, 4))
                .isGreaterThan(0.8);
    }
}
