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

/** How much traffic the planner takes its proxies' reports for. */
class DemandEstimatorScenarioTest {
    /**
     * A proxy with less than a request a report period sends no report for most periods. Each was
     * counted by its last busy period: demand was estimated at one and a half times the arrivals,
     * and slow-starting replicas were held back for it.
     */
    @Test
    void countsAMissingReportLikeOneOfNoRequests() {
        double silentFraction = slowStartingFractionOfRareCallers(false);
        double reportedFraction = slowStartingFractionOfRareCallers(true);
        assertThat(silentFraction)
                .as("as if each had reported that nothing came")
                .isCloseTo(reportedFraction, within(0.005));
    }

    /**
     * The weight of a slow-starting replica where a sixth of the proxies has requests in each
     * period.
     */
    private static double slowStartingFractionOfRareCallers(boolean reportsNone) {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.admissionMode(AdmissionMode.NONE)
                                                .reportPeriodTicks(2 * SECOND))
                        .start(4, 18, 0.5);
        for (int round = 0; round < 12; round++) {
            for (int proxy = 0; proxy < 18; proxy++) {
                int requests = proxy % 6 == round % 6 ? 2 : 0;
                if (requests > 0 || reportsNone) {
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
     * A controller's first reports were taken for those of half their period, and a third of the
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
                        .as("0.65 of what the fleet can do")
                        .isEqualTo(1);
            }
        }
    }

    /**
     * Discovery's update came right after the first reports: their requests were divided by no
     * time, and all were rejected.
     */
    @Test
    void firstReportsAreNotDividedByTheTimeSinceTheLastRound() {
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
                .as("0.8 of half of what comes")
                .isGreaterThan(0.4);
    }

    /**
     * Proxies joined in the second before the first reports, which were taken for those of the few
     * that had joined before. The fleet's usual rate was estimated at up to ten times what it was,
     * and nothing was rejected in a congestion collapse of ten seconds.
     */
    @Test
    void proxiesThatJoinBeforeTheFirstReportsDoNotInflateTheUsualRate() {
        FakeController controller = FakeController.create().start(4, 1, 10);
        for (int proxy = 1; proxy < 10; proxy++) {
            controller.rejoinProxy(proxy, proxy % 2 == 0 ? "east" : "west", 10);
        }
        controller.runSeconds(4, allHealthy(4, 25, 0.7));
        controller.runSeconds(3, allFailing(4, 30, 10, 1.0));
        assertThat(controller.admissionLevel(0)).isLessThan(0.9);
    }
}
