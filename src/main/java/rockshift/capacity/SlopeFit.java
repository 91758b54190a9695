package rockshift.capacity;

import java.util.Arrays;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A linear least squares fit, with the 95% confidence interval of its slope and the range of
 * measured sizes. The residual is the standard error around the line, in the unit of the measured
 * value.
 */
public record SlopeFit(
        int points,
        double least,
        double most,
        double intercept,
        double slope,
        double slopeLow,
        double slopeHigh,
        double residual,
        double determination,
        double mean,
        double squares) {
    private static final double CONFIDENCE = 0.95;

    /** The multiple of the largest measured size beyond which an extrapolation is marked as far. */
    public static final double FAR = 2;

    /**
     * The value of a fit at a size, with the 95% prediction interval of one measurement there.
     *
     * @param reach the size as a multiple of the largest measured size
     */
    public record Estimate(double value, double low, double high, double reach) {
        /** Whether the size is more than twice the largest measured size. */
        public boolean isFar() {
            return reach > FAR;
        }
    }

    /**
     * Fits measured values against sizes.
     *
     * @throws IllegalArgumentException if there are fewer than three points or only one size, or
     *     the arrays differ in length
     */
    public static SlopeFit of(double[] sizes, double[] measured) {
        if (sizes.length != measured.length || sizes.length < 3) {
            throw new IllegalArgumentException(
                    "expected at least 3 sizes with one value each, got "
                            + sizes.length
                            + " sizes and "
                            + measured.length
                            + " values");
        }
        SimpleRegression line = new SimpleRegression();
        for (int i = 0; i < sizes.length; i++) {
            line.addData(sizes[i], measured[i]);
        }
        if (line.getXSumSquares() == 0) {
            throw new IllegalArgumentException("expected at least 2 different sizes, got 1");
        }
        double halfWidth = line.getSlopeConfidenceInterval(1 - CONFIDENCE);
        return new SlopeFit(
                sizes.length,
                Arrays.stream(sizes).min().orElseThrow(),
                Arrays.stream(sizes).max().orElseThrow(),
                line.getIntercept(),
                line.getSlope(),
                line.getSlope() - halfWidth,
                line.getSlope() + halfWidth,
                Math.sqrt(line.getMeanSquareError()),
                line.getRSquare(),
                Arrays.stream(sizes).average().orElseThrow(),
                line.getXSumSquares());
    }

    /** Returns the value at a size inside or outside the measured range. */
    public Estimate at(double size) {
        double value = intercept + slope * size;
        double quantile =
                new TDistribution(points - 2).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        double halfWidth =
                quantile
                        * residual
                        * Math.sqrt(1 + 1.0 / points + (size - mean) * (size - mean) / squares);
        return new Estimate(value, value - halfWidth, value + halfWidth, size / most);
    }
}
