package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class SimplexProjectionTest {
    private static double excess(double limit, double... values) {
        return SimplexProjection.excess(values, limit);
    }

    @Test
    void excessIsZeroWithinLimit() {
        assertThat(excess(1)).isZero();
        assertThat(excess(1, 0.4, 0.6)).isZero();
    }

    @Test
    void sameAmountIsSubtractedFromEachValueThatStaysPositive() {
        assertThat(excess(1, 0.9, 0.7)).isCloseTo(0.3, within(1e-12));
        assertThat(excess(1, 1.5, 0.1))
                .as("excess if only the larger value stays positive")
                .isEqualTo(0.5);
    }

    /** An ejected replica has no capacity: nothing may be left of any value. */
    @Test
    void limitOfZeroLeavesNothing() {
        assertThat(excess(0, 0.2, 0.8)).isCloseTo(0.8, within(1e-12));
    }
}
