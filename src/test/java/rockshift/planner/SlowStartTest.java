package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.endpoint;

import org.junit.jupiter.api.Test;
import rockshift.model.Endpoint;

class SlowStartTest {
    private static final long DURATION = 1_000;

    private final SlowStart slowStart = new SlowStart(0.2, DURATION, 3);

    private double factorAfter(long startedAtTicks, long ageTicks) {
        Replica replica = new Replica(1);
        replica.updateEndpoint(endpoint(1, "east", Endpoint.Health.READY, startedAtTicks));
        return slowStart.factor(replica, startedAtTicks + ageTicks);
    }

    @Test
    void aReplicaWarmsEvenlyFromItsStart() {
        assertThat(factorAfter(NOW, 0)).isEqualTo(0.2);
        assertThat(factorAfter(NOW, DURATION / 2)).isCloseTo(0.6, within(1e-12));
        assertThat(factorAfter(NOW, DURATION)).isEqualTo(1);
    }

    /** The clocks of controllers and replicas differ: a start may seem to lie ahead. */
    @Test
    void aStartThatLiesAheadCountsAsNow() {
        assertThat(factorAfter(NOW, -500)).isEqualTo(0.2);
    }

    @Test
    void aReplicaWithoutAStartIsWarm() {
        assertThat(factorAfter(0, 1)).isEqualTo(1);
    }

    @Test
    void lessThanTheOverloadMultipleIsSafe() {
        assertThat(slowStart.safeLoadRatio()).isPositive().isLessThan(3);
    }
}
