package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class TrafficWindowsTest {
    private static final long SECOND = 10_000;
    private static final double[] ALL_ADMITTED = {1};

    private final TrafficWindows traffic = new TrafficWindows(1);

    @Test
    void nothingIsCoveredBeforeFirstReport() {
        traffic.decay(SECOND, ALL_ADMITTED);
        assertThat(traffic.isEmpty()).isTrue();
        assertThat(traffic.attemptsPerTick()).isZero();
    }

    /** Counts and time decay alike, so that a steady rate stays the same. */
    @Test
    void steadyRateDoesNotChange() {
        for (int second = 0; second < 60; second++) {
            traffic.addAttempts(200, 0, 100, SECOND);
            traffic.addArrivals(0, 100);
            traffic.decay(SECOND, ALL_ADMITTED);
        }
        assertThat(traffic.attemptsPerTick() * SECOND).isCloseTo(200, within(25.0));
        assertThat(traffic.arrivals() / traffic.attempts()).isCloseTo(0.5, within(1e-9));
        assertThat(traffic.coveredTicksFromFirstReport())
                .isCloseTo(traffic.conservativeCoveredTicks(), within(0.01));
    }

    @Test
    void admittedFractionFollowsLevels() {
        traffic.addAttempts(50, 0, 100, SECOND);
        traffic.addArrivals(0, 100);
        for (int second = 0; second < 60; second++) {
            traffic.decay(SECOND, new double[] {0.5});
        }
        assertThat(traffic.admittedFraction(0)).isCloseTo(0.5, within(1e-6));
    }

    @Test
    void waitingFractionIsTimeBeyondShortestMean() {
        traffic.addAttempts(10, 0, 100, SECOND);
        assertThat(traffic.updateWaitingFraction()).isZero();
        traffic.addAttempts(30, 0, 500, SECOND);
        assertThat(traffic.updateWaitingFraction()).isCloseTo(0.75, within(1e-9));
    }
}
