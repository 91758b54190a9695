package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.CHECKOUT;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.allFailing;
import static rockshift.planner.ReplicaReport.allHealthy;
import static rockshift.planner.ReplicaReport.failing;
import static rockshift.planner.ReplicaReport.healthy;

import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/** Fraction of each class's requests that is admitted. */
class AdmissionControllerScenarioTest {
    /** Configures two classes, of which checkout has four times the priority weight of search. */
    private static void withHighPriorityCheckout(PlannerSettings.Builder settings) {
        settings.classes(
                List.of(
                        ClassSettings.named(SEARCH).build(),
                        ClassSettings.named(CHECKOUT).priorityWeight(4).build()));
    }

    private static FakeController overload(FakeController controller) {
        return controller.runSeconds(15, allFailing(2, 60, 20, 1.0));
    }

    /**
     * When capacity came back, all requests were admitted at once, and the burst overloaded a
     * slow-starting replica.
     */
    @Test
    void levelsFallWithCapacityAndRiseInSteps() {
        FakeController controller = overload(FakeController.create().start(2));
        double low = controller.admissionLevels().get(0);
        assertThat(low).isBetween(0.4, 0.8);
        controller.runSeconds(2, allHealthy(2, 5, 0.1));
        assertThat(controller.admissionLevels().get(0)).isLessThanOrEqualTo(low + 0.21);
        controller.runSeconds(20, allHealthy(2, 5, 0.1));
        assertThat(controller.admissionLevels().get(0)).isEqualTo(1);
    }

    @Test
    void overloadRejectsClassOfLowerPriorityFirst() {
        FakeController controller =
                FakeController.with(AdmissionControllerScenarioTest::withHighPriorityCheckout)
                        .start(2);
        for (int second = 0; second < 10; second++) {
            controller.reportUsage(0, CHECKOUT, 60, SECOND);
            controller.runSecond(allFailing(2, 90, 20, 1.0));
        }
        assertThat(controller.admissionLevels().get(0)).isLessThan(0.7);
        assertThat(controller.admissionLevels().get(1)).isEqualTo(1);
    }

    /** The capacity left for a class without traffic was divided by zero requests. */
    @Test
    void classWithoutTrafficIsNotRejectedMoreThanOthers() {
        FakeController controller =
                FakeController.with(
                        settings -> {
                            withHighPriorityCheckout(settings);
                            settings.worstClassWeight(0.3);
                        });
        controller.start(2);
        for (int second = 0; second < 60; second++) {
            controller.runSecond(failing(1, 60 + second, 20, 1.0), failing(2, 60, 20, 1.0));
            assertThat(controller.admissionLevels().get(1))
                    .as("level of the class without traffic, at most one step below search")
                    .isGreaterThan(controller.admissionLevels().get(0) - 0.05);
        }
        assertThat(controller.admissionLevels().get(0)).isLessThan(0.9);
    }

    /**
     * Clients retried rejected requests, and each retry counted as new demand, so that three
     * quarters of the requests were rejected although the fleet was idle.
     */
    @Test
    void clientRetriesAreNotCountedAsNewDemand() {
        FakeController controller = overload(FakeController.create().start(2));
        for (int second = 0; second < 30; second++) {
            double level = controller.admissionLevels().get(0);
            int firstAttempts = 100;
            int admitted = (int) Math.round(firstAttempts * level);
            int arrivals = (int) Math.round(firstAttempts * (1 + 2 * (1 - level)));
            double utilization = Math.min(1, admitted / 100.0);
            controller.reportReplica("east", healthy(1, admitted / 2, utilization), SECOND);
            controller.reportReplica("west", healthy(2, admitted / 2, utilization), SECOND);
            controller.reportUsage(0, SEARCH, arrivals / 2, SECOND);
            controller.reportUsage(1, SEARCH, arrivals / 2, SECOND);
            controller.runFor(1);
        }
        assertThat(controller.admissionLevels().get(0))
                .as("level near the target utilization of 0.8")
                .isGreaterThan(0.7);
    }

    @Test
    void fleetThatIsNotBusyRejectsNothing() {
        FakeController controller = FakeController.create().start(2);
        controller.runSeconds(10, allFailing(2, 60, 20, 0.5));
        assertThat(controller.admissionLevels().get(0)).isEqualTo(1);
    }

    /**
     * While a new controller's first reports arrive, the rate of an overloaded fleet seems to rise.
     */
    @Test
    void newControllerOfOverloadedFleetAdmitsLessAtFirst() {
        FakeController controller = FakeController.create().start(2);
        controller.runSeconds(2, allHealthy(2, 60, 0.95));
        double first = controller.admissionLevels().get(0);
        controller.runSeconds(12, allHealthy(2, 60, 0.95));
        assertThat(first).isLessThan(controller.admissionLevels().get(0) - 0.1);
    }

    /**
     * In a deployment whose admission levels are requests per second at each proxy, a level of 1,
     * meant to admit all, rejected four in five.
     */
    @Test
    void levelsAsRatesRejectNothing() {
        FakeController controller =
                overload(
                        FakeController.with(
                                        settings ->
                                                settings.admissionMode(
                                                        AdmissionMode.RATE_PER_SECOND))
                                .start(2));
        assertThat(controller.admissionLevels())
                .isNotEmpty()
                .allSatisfy((table, rate) -> assertThat(rate).isGreaterThan(10_000));
    }
}
