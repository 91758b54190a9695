package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class RootSearchTest {
    private static final double PRECISION = 1e-9;

    private static RootSearch search(double alpha, double theta, double current, double move) {
        return new RootSearch(alpha, 0.125, theta, new double[] {current}, new double[] {move});
    }

    /** With one path and no costs the root is y = w / y^alpha. */
    @Test
    void pathWithoutCostsGetsRootOfItsWeight() {
        RootSearch proportional = search(1, 0, 0, 0);
        double total = proportional.rate(0, proportional.marginalUtility(1));
        assertThat(total).isCloseTo(Math.sqrt(0.125), within(PRECISION));
        RootSearch squared = search(2, 0, 0, 0);
        assertThat(squared.rate(0, squared.marginalUtility(1))).isCloseTo(0.5, within(PRECISION));
    }

    @Test
    void moveBelowSwitchingCostIsNotMade() {
        RootSearch search = search(1, 10, 0.3, 0);
        assertThat(search.rate(0, search.marginalUtility(0.3))).isEqualTo(0.3);
    }

    @Test
    void searchEndsWithoutPaths() {
        RootSearch search = new RootSearch(1, 0.5, 0, new double[0], new double[0]);
        assertThat(search.marginalUtility(0)).isPositive();
    }
}
