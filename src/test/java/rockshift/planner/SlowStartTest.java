package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.endpoint;

import org.junit.jupiter.api.Test;
import rockshift.model.Endpoint;

class SlowStartTest {
    private static final long DURATION_TICKS = 1_000;

    private final SlowStart slowStart = new SlowStart(0.2, DURATION_TICKS, 3);

    private double factorAfter(long startedAtTicks, long ageTicks) {
        Replica replica = new Replica(1);
        replica.updateEndpoint(endpoint(1, "east", Endpoint.Health.READY, startedAtTicks));
        return slowStart.factor(replica, startedAtTicks + ageTicks);
    }

    @Test
    void factorGrowsLinearlyFromStart() {
        assertThat(factorAfter(NOW, 0)).isEqualTo(0.2);
        assertThat(factorAfter(NOW, DURATION_TICKS / 2)).isCloseTo(0.6, within(1e-12));
        assertThat(factorAfter(NOW, DURATION_TICKS)).isEqualTo(1);
    }

    /** Clocks of controllers and replicas differ, so a start time may be in the future. */
    @Test
    void startInTheFutureHasInitialFraction() {
        assertThat(factorAfter(NOW, -500)).isEqualTo(0.2);
    }

    @Test
    void startLongPastHasFullCapacity() {
        assertThat(factorAfter(0, 1)).isEqualTo(1);
    }

    @Test
    void safeLoadRatioIsBelowOverloadMultiple() {
        assertThat(slowStart.safeLoadRatio()).isPositive().isLessThan(3);
    }
}
