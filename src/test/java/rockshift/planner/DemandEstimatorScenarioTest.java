package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allFailing;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.TestEndpoints.draining;
import static rockshift.planner.TestEndpoints.startedAt;
import static rockshift.planner.TestEndpoints.zoneOf;

import org.junit.jupiter.api.Test;
import rockshift.settings.AdmissionMode;

/** Traffic that the planner estimates from the reports of its proxies. */
class DemandEstimatorScenarioTest {
    /**
     * A proxy with less than one request per report period sends no report for most periods. Each
     * of these was counted like its last busy period, so that demand was estimated at 1.5 times the
     * arrivals and slow-starting replicas got less traffic than they could take.
     */
    @Test
    void missingReportCountsAsReportOfNoRequests() {
        double unreportedFraction = slowStartingFractionWithRareRequests(false);
        double reportedFraction = slowStartingFractionWithRareRequests(true);
        assertThat(unreportedFraction)
                .as("weight fraction without reports, compared to reports of 0 requests")
                .isCloseTo(reportedFraction, within(0.005));
    }

    /**
     * Returns the weight of a slow-starting replica if a sixth of the proxies has requests in each
     * period.
     */
    private static double slowStartingFractionWithRareRequests(boolean reportsZero) {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.admissionMode(AdmissionMode.NONE)
                                                .reportPeriodTicks(2 * SECOND))
                        .start(4, 18, 0.5);
        for (int round = 0; round < 12; round++) {
            for (int proxy = 0; proxy < 18; proxy++) {
                int requests = proxy % 6 == round % 6 ? 2 : 0;
                if (requests > 0 || reportsZero) {
                    controller.reportUsage(proxy, SEARCH, requests, 2 * SECOND);
                }
            }
            for (long replica = 1; replica <= 4; replica++) {
                controller.reportReplica(zoneOf(replica), healthy(replica, 2, 0.5), 2 * SECOND);
            }
            controller.runFor(2);
        }
        controller.changeEndpoints(startedAt(2, controller.nowTicks()));
        return controller.runFor(1).weightFraction(0, 2);
    }

    /**
     * A controller's first reports were counted for half of their period, and a third of the
     * requests was rejected.
     */
    @Test
    void firstReportsCountForThePeriodThatTheyCover() {
        FakeController controller = FakeController.create().start(4).runFor(2.4);
        for (int period = 0; period < 8; period++) {
            for (long replica = 1; replica <= 4; replica++) {
                controller.reportReplica(zoneOf(replica), healthy(replica, 26, 0.65), 2 * SECOND);
            }
            controller.reportUsage(0, SEARCH, 52, 2 * SECOND);
            controller.reportUsage(1, SEARCH, 52, 2 * SECOND);
            for (int quarter = 0; quarter < 4; quarter++) {
                controller.runFor(0.5);
                assertThat(controller.admissionLevel(0))
                        .as("level at a utilization of 0.65")
                        .isEqualTo(1);
            }
        }
    }

    /**
     * Discovery sent an update right after the first reports. Their requests were divided by almost
     * no time, and all were rejected.
     */
    @Test
    void firstReportsAreNotDividedByTimeSinceLastRound() {
        FakeController controller = FakeController.create().start(12);
        controller.changeEndpoints(draining(11));
        controller.runTurn();
        for (long replica = 1; replica <= 10; replica++) {
            controller.reportReplica(zoneOf(replica), healthy(replica, 12, 0.9), 2 * SECOND);
        }
        controller.reportUsage(0, SEARCH, 60, 2 * SECOND);
        controller.reportUsage(1, SEARCH, 60, 2 * SECOND);
        controller.advanceTicks(1);
        controller.changeEndpoints(draining(12));
        controller.runTurn().runFor(1);
        assertThat(controller.admissionLevels().get(0))
                .as("level at 0.8 of a capacity of half the demand")
                .isGreaterThan(0.4);
    }

    /**
     * Proxies joined in the second before the first reports, which were attributed to the few that
     * had joined before. The fleet's usual rate was estimated up to ten times too high, and nothing
     * was rejected in a congestion collapse of 10 s.
     */
    @Test
    void joinsBeforeFirstReportsDoNotInflateHealthyRate() {
        FakeController controller = FakeController.create().start(4, 1, 10);
        for (int proxy = 1; proxy < 10; proxy++) {
            controller.rejoinProxy(proxy, proxy % 2 == 0 ? "east" : "west", 10);
        }
        controller.runSeconds(4, allHealthy(4, 25, 0.7));
        controller.runSeconds(3, allFailing(4, 30, 10, 1.0));
        assertThat(controller.admissionLevel(0)).isLessThan(0.9);
    }
}
