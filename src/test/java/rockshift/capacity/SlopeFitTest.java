package rockshift.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Fits of exact and noisy measurements: slope and intercept, confidence interval, and the mark of
 * far extrapolations.
 */
class SlopeFitTest {
    @Test
    void exactMeasurementsGiveTheirSlopeAndIntercept() {
        SlopeFit fit = SlopeFit.of(new double[] {1, 2, 5, 9}, new double[] {5, 7, 13, 21});
        assertThat(fit.slope()).isCloseTo(2, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
        assertThat(fit.at(100).value()).isCloseTo(203, within(1e-6));
        assertThat(fit.at(100).low()).isCloseTo(203, within(1e-3));
    }

    @Test
    void sizeBeyondTwiceTheLargestMeasuredIsFar() {
        SlopeFit fit = SlopeFit.of(new double[] {1, 2, 5, 9}, new double[] {5, 7, 13, 21});
        assertThat(fit.at(18).isFar()).isFalse();
        assertThat(fit.at(18.1).isFar()).isTrue();
        assertThat(fit.at(45).reach()).isCloseTo(5, within(1e-9));
    }

    @Test
    void confidenceIntervalContainsTrueSlopeInNineteenOfTwentyCases() {
        int inside = 0;
        for (int seed = 0; seed < 400; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double[] sizes = IntStream.range(0, 15).mapToDouble(i -> 100 * i).toArray();
            double[] measured = new double[sizes.length];
            for (int i = 0; i < sizes.length; i++) {
                measured[i] = 7 + 0.3 * sizes[i] + 20 * random.nextGaussian();
            }
            SlopeFit fit = SlopeFit.of(sizes, measured);
            inside += fit.slopeLow() <= 0.3 && 0.3 <= fit.slopeHigh() ? 1 : 0;
        }
        assertThat(inside).isBetween(365, 395);
    }

    @Test
    void tooFewPointsOrSizesAreRejected() {
        assertThatThrownBy(() -> SlopeFit.of(new double[] {1, 2}, new double[] {1, 2}))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> SlopeFit.of(new double[] {4, 4, 4}, new double[] {1, 2, 3}))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
