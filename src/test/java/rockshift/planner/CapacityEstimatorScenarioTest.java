package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.withoutUtilization;

import org.junit.jupiter.api.Test;

/** Estimated capacity of the fleet, as its admission levels show it. */
class CapacityEstimatorScenarioTest {
    private static final int ATTEMPTS = 40;

    /**
     * Four of five controllers failed. The fifth estimated the capacity of the whole fleet from the
     * quarter of the requests that it had seen until then: half of all requests were rejected for
     * 15 s, and clients retried them.
     */
    @Test
    void requestsOfProxiesFromOtherControllersAreAdmitted() {
        FakeController controller = FakeController.create().start(4, 2, 10);
        controller.runSeconds(20, allHealthy(4, 5, 0.7));
        for (int proxy = 2; proxy < 8; proxy++) {
            controller.rejoinProxy(proxy, proxy % 2 == 0 ? "east" : "west", 10);
        }
        controller.runSecond(allHealthy(4, 5, 0.7));
        for (int second = 0; second < 8; second++) {
            assertThat(controller.runSecond(allHealthy(4, 20, 0.7)).admissionLevel(0))
                    .as("level in second " + second)
                    .isGreaterThan(0.9);
        }
    }

    private static ReplicaReport report(long replica, int failures, long latencyTicks) {
        return withoutUtilization(replica, ATTEMPTS, failures).withLatencyTicks(latencyTicks);
    }

    /**
     * Replicas that report a queue and a time, but no utilization, all counted as fully busy, and
     * were given 0.8 of their responses. This began with responses lost by the network; half of the
     * requests were rejected although no queue had formed.
     */
    @Test
    void fastResponsesShowSpareCapacityIfNoUtilizationIsReported() {
        FakeController controller = FakeController.create().start(4);
        for (int second = 0; second < 30; second++) {
            int failures = second >= 10 && second < 15 ? 12 : 0;
            controller.runSecond(
                    report(1, failures, 2_000),
                    report(2, failures, 2_400),
                    report(3, failures, 2_200),
                    report(4, failures, 2_100));
            assertThat(controller.admissionLevel(0)).as("level in second " + second).isEqualTo(1);
        }
    }

    @Test
    void slowResponsesShowFullFleetIfNoUtilizationIsReported() {
        FakeController controller = FakeController.create().start(4);
        for (int second = 0; second < 40; second++) {
            long latencyTicks = second < 10 ? 2_000 : 30_000;
            controller.runSecond(
                    report(1, 0, latencyTicks),
                    report(2, 0, latencyTicks),
                    report(3, 0, latencyTicks),
                    report(4, 0, latencyTicks));
        }
        assertThat(controller.admissionLevels().get(0)).isBetween(0.5, 0.95);
    }
}
