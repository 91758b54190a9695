package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.NOW;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;

class AdmissionControllerTest {
    private static final long SECOND = 10_000;
    private static final long TIMEOUT_TICKS = 3 * SECOND;
    private static final double NO_FAILURES = 0;

    private final DecisionLog log = new DecisionLog();
    private final BaselineRates baseline = new BaselineRates(0);

    private AdmissionController controller(AdmissionMode mode, double... priorityWeights) {
        List<ClassSettings> classes =
                Arrays.stream(priorityWeights)
                        .mapToObj(
                                weight ->
                                        ClassSettings.named("class-" + weight)
                                                .priorityWeight(weight)
                                                .timeoutTicks(TIMEOUT_TICKS)
                                                .build())
                        .toList();
        return new AdmissionController(mode, classes, log);
    }

    /** One second of reports with these arrivals by class, and as many attempts in total. */
    private static TrafficWindows traffic(int... arrivals) {
        TrafficWindows traffic = new TrafficWindows(arrivals.length);
        int attempts = 0;
        for (int k = 0; k < arrivals.length; k++) {
            traffic.addArrivals(k, arrivals[k]);
            attempts += arrivals[k];
        }
        traffic.addAttempts(attempts, 0, 100, SECOND);
        double[] all = new double[arrivals.length];
        Arrays.fill(all, 1);
        traffic.decay(SECOND, all);
        return traffic;
    }

    /** An overloaded fleet that can serve a fraction of the demand. */
    private static FleetCapacity overloaded(TrafficWindows traffic, double fractionOfDemand) {
        double demandPerTick = traffic.arrivals() / traffic.conservativeCoveredTicks();
        return new FleetCapacity(fractionOfDemand * demandPerTick, 0.9);
    }

    private void update(
            AdmissionController controller, TrafficWindows traffic, FleetCapacity capacity) {
        controller.update(traffic, baseline, capacity, NO_FAILURES, 0, NOW);
    }

    @Test
    void allIsAdmittedIfLevelsAreNotFractions() {
        AdmissionController controller = controller(AdmissionMode.NONE, 1);
        update(controller, traffic(1_000), new FleetCapacity(0.01, 1));
        assertThat(controller.level(0)).isEqualTo(1);
    }

    @Test
    void allIsAdmittedBeforeFirstReport() {
        AdmissionController controller = controller(AdmissionMode.FRACTION, 1);
        update(controller, new TrafficWindows(1), new FleetCapacity(0, 0));
        assertThat(controller.level(0)).isEqualTo(1);
    }

    @Test
    void allIsAdmittedWithoutDemand() {
        AdmissionController controller = controller(AdmissionMode.FRACTION, 1);
        update(controller, traffic(0), new FleetCapacity(0, 0));
        assertThat(controller.level(0)).isEqualTo(1);
    }

    @Test
    void singleClassIsAdmittedUpToTargetUtilization() {
        AdmissionController controller = controller(AdmissionMode.FRACTION, 1);
        TrafficWindows traffic = traffic(1_000);
        update(controller, traffic, overloaded(traffic, 0.5));
        assertThat(controller.level(0)).isCloseTo(0.4, within(1e-9));
    }

    @Test
    void classWithLowestPriorityIsShedFirst() {
        AdmissionController controller = controller(AdmissionMode.FRACTION, 1, 5);
        TrafficWindows traffic = traffic(500, 500);
        update(controller, traffic, overloaded(traffic, 1));
        assertThat(controller.level(0)).isCloseTo(0.6, within(1e-9));
        assertThat(controller.level(1)).isEqualTo(1);
    }

    /**
     * Servers work on requests that have timed out, so almost nothing is admitted for one timeout.
     */
    @Test
    void congestionCollapsePausesAdmissionForOneTimeout() {
        AdmissionController controller = controller(AdmissionMode.FRACTION, 1);
        FleetCapacity full = new FleetCapacity(0.1, 1);
        controller.update(traffic(1_000), baseline, full, 0.7, 0, NOW);
        assertThat(log.remove()).isEqualTo("admissionPaused reason=congestionCollapse median=0.70");
        assertThat(controller.level(0)).isEqualTo(0.05);
        controller.update(traffic(1_000), baseline, full, NO_FAILURES, 0, NOW + TIMEOUT_TICKS - 1);
        assertThat(controller.level(0)).isEqualTo(0.05);
        controller.update(traffic(1_000), baseline, full, NO_FAILURES, 0, NOW + TIMEOUT_TICKS);
        assertThat(controller.level(0))
                .as("level one increase step above the minimum")
                .isCloseTo(0.25, within(1e-12));
    }
}
