package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allFailing;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.ReplicaReport.withoutUtilization;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.startedAt;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rockshift.settings.AdmissionMode;

/** Part of the traffic that a replica gets during slow start. */
class SlowStartScenarioTest {
    private static final Set<Long> FIRST_FORTY =
            LongStream.rangeClosed(1, 40).boxed().collect(Collectors.toSet());

    private static void restartFirstForty(FakeController controller) {
        controller.changeEndpoints(
                FIRST_FORTY.stream()
                        .map(replica -> startedAt(replica, controller.nowTicks()))
                        .toList());
    }

    @Test
    void restartedReplicaGetsInitialFractionAndGrowsLinearly() {
        FakeController controller = FakeController.create().start(4).runFor(2);
        controller.changeEndpoints(startedAt(2, controller.nowTicks()));
        controller.runTurn();
        assertThat(controller.weightFraction(0, 2)).isLessThan(0.08);
        controller.runFor(5);
        assertThat(controller.weightFraction(0, 2)).isBetween(0.12, 0.2);
        controller.runFor(7);
        assertThat(controller.weightFraction(0, 2)).isGreaterThan(0.22);
    }

    /**
     * Demand was four times what the fleet could serve, and a slow-starting replica got its full
     * part of it.
     */
    @Test
    void slowStartingReplicaGetsLessInOverloadedFleet() {
        FakeController controller =
                FakeController.with(settings -> settings.admissionMode(AdmissionMode.NONE))
                        .start(4);
        controller.runSeconds(20, allFailing(4, 80, 60, 1.0));
        controller.changeEndpoints(startedAt(2, controller.nowTicks()));
        controller.runTurn();
        double sent = 320 * (controller.weightFraction(0, 2) + controller.weightFraction(1, 2)) / 2;
        assertThat(sent).isLessThan(3 * 0.2 * 20);
    }

    /**
     * After failures a proxy with a very high request rate skipped all entries except a
     * slow-starting one, and its requests overloaded that replica.
     */
    @Test
    void proxyWithHighRateGetsNoSlowStartingEntry() {
        FakeController controller = FakeController.largeFleet().runFor(3);
        for (int second = 0; second < 4; second++) {
            controller.reportUsage(0, SEARCH, 400, SECOND);
            controller.runFor(1);
        }
        long slowStarting = controller.tableOf(0).firstKey();
        controller.changeEndpoints(startedAt(slowStarting, controller.nowTicks()));
        assertThat(controller.runTurn().tableOf(0)).doesNotContainKey(slowStarting);
        assertThat(controller.runFor(12).tableOf(0)).containsKey(slowStarting);
    }

    /**
     * The rate of one proxy soon exceeded what all slow-starting replicas of its table could serve.
     */
    @Test
    void proxyThatCouldOverloadAllItsSlowStartingReplicasGetsNone() {
        FakeController controller = FakeController.largeFleet().runFor(3);
        restartFirstForty(controller);
        assertThat(controller.runFor(1).tableOf(0).keySet())
                .as("entries of proxy 0 at its usual rate")
                .containsAnyElementsOf(FIRST_FORTY);
        for (int second = 0; second < 4; second++) {
            controller.reportUsage(0, SEARCH, 60, SECOND);
            controller.runFor(1);
        }
        assertThat(controller.tableOf(0).keySet()).doesNotContainAnyElementsOf(FIRST_FORTY);
    }

    /**
     * A proxy's rate grew from 1 to 27 requests per second between two reports. After one proxy had
     * such a rate, slow-starting replicas are protected from it in every table.
     */
    @Test
    void highRateAtOneProxyRemovesSlowStartingEntriesFromOtherSubsets() {
        FakeController controller = FakeController.largeFleet().runFor(3);
        for (int second = 0; second < 4; second++) {
            controller.reportUsage(0, SEARCH, 240, SECOND);
            controller.runFor(1);
        }
        controller.disconnectProxy(0);
        restartFirstForty(controller);
        controller.runFor(2);
        assertThat(controller.tableOf(1).keySet())
                .isNotEmpty()
                .doesNotContainAnyElementsOf(FIRST_FORTY);
    }

    /**
     * The part of a slow-starting replica in a table is bounded, except if no other replica is
     * left.
     */
    @Test
    void slowStartingReplicaKeepsEntryIfItIsTheOnlyOne() {
        FakeController controller = FakeController.create().start(3);
        controller.runSeconds(5, allHealthy(3, 20, 0.5));
        controller.changeEndpoints(startedAt(2, controller.nowTicks()), gone(1), gone(3));
        for (int second = 0; second < 5; second++) {
            controller.runSecond(healthy(2, 20, 0.9));
            assertThat(controller.table(0))
                    .containsOnlyKeys(2L)
                    .allSatisfy((replica, weight) -> assertThat(weight).isPositive());
        }
    }

    /**
     * After a zone recovered from a failure, its proxies sent more requests than they had reported
     * until then.
     */
    @Test
    void slowStartingFractionIsBoundedByPartOfFleet() {
        FakeController controller =
                FakeController.with(settings -> settings.zoneCrossingPrice(0.06)).start(8);
        for (int second = 0; second < 30; second++) {
            for (long replica = 1; replica <= 8; replica++) {
                controller.reportReplica("east", healthy(replica, 10, 0.5), SECOND);
            }
            controller.reportUsage(1, SEARCH, 78, SECOND);
            controller.reportUsage(0, SEARCH, 2, SECOND);
            controller.runFor(1);
        }
        controller.changeEndpoints(startedAt(1, controller.nowTicks()));
        controller.runFor(2);
        assertThat(controller.weightFraction(0, 1)).isLessThan(0.08);
    }

    /**
     * Half of the proxies came back after a network partition of their zone, and slow-starting
     * replicas were overloaded before the first report of the requests.
     */
    @Test
    void joinedProxyCountsWithBaselineRateBeforeFirstReport() {
        FakeController controller =
                FakeController.with(settings -> settings.admissionMode(AdmissionMode.NONE))
                        .start(4);
        controller.runSeconds(20, allHealthy(4, 4, 0.5));
        controller.changeEndpoints(startedAt(2, controller.nowTicks()));
        double before = controller.runTurn().weightFraction(0, 2);
        controller.joinProxy(5, "west", 400);
        controller.runFor(1);
        assertThat(controller.weightFraction(0, 2)).isLessThan(before / 2);
    }

    /**
     * After failures proxies skipped the only good replica for a moment, and a slow-starting one
     * got all that the others could not take.
     */
    @Test
    void slowStartingReplicaDoesNotTakeOverForSkippedReplica() {
        FakeController controller = FakeController.create().start(12);
        for (int second = 0; second < 6; second++) {
            ReplicaReport[] reports = new ReplicaReport[12];
            Arrays.setAll(
                    reports,
                    i -> i < 7 ? healthy(i + 1, 10, 0.5) : withoutUtilization(i + 1, 10, 10));
            reports[0] = healthy(1, 300, 0.5);
            controller.runSecond(reports);
        }
        controller.changeEndpoints(List.of(startedAt(3, controller.nowTicks())));
        controller.runFor(1);
        double fractionWithoutLargest =
                controller.weightFraction(0, 3) / (1 - controller.weightFraction(0, 1));
        assertThat(fractionWithoutLargest).isLessThan(0.1);
    }
}
