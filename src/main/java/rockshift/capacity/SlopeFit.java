package rockshift.capacity;

import java.util.Arrays;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through measurements by least squares, with the 95% interval of its slope and the
 * range that was measured. Residual is the standard error around the line, in the unit of what was
 * measured.
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

    /** Times the measured range beyond which an extrapolation is marked. */
    public static final double FAR = 2;

    /**
     * What a line says at a size, with the 95% interval of one measurement there, and how many
     * times the range it lies.
     */
    public record Estimate(double value, double low, double high, double reach) {
        /** Whether it lies more than twice as far as was measured. */
        public boolean marked() {
            return reach > FAR;
        }
    }

    /** Fits sizes and what was measured at them; three or more points, at two sizes or more. */
    public static SlopeFit of(double[] sizes, double[] measured) {
        if (sizes.length != measured.length || sizes.length < 3) {
            throw new IllegalArgumentException(
                    "three or more sizes, each with what was measured there");
        }
        SimpleRegression line = new SimpleRegression();
        for (int i = 0; i < sizes.length; i++) {
            line.addData(sizes[i], measured[i]);
        }
        if (line.getXSumSquares() == 0) {
            throw new IllegalArgumentException("two or more different sizes");
        }
        double half = line.getSlopeConfidenceInterval(1 - CONFIDENCE);
        return new SlopeFit(
                sizes.length,
                Arrays.stream(sizes).min().orElseThrow(),
                Arrays.stream(sizes).max().orElseThrow(),
                line.getIntercept(),
                line.getSlope(),
                line.getSlope() - half,
                line.getSlope() + half,
                Math.sqrt(line.getMeanSquareError()),
                line.getRSquare(),
                Arrays.stream(sizes).average().orElseThrow(),
                line.getXSumSquares());
    }

    /** What the line says at a size, inside what was measured or beyond. */
    public Estimate at(double size) {
        double value = intercept + slope * size;
        double times =
                new TDistribution(points - 2).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
        double half =
                times
                        * residual
                        * Math.sqrt(1 + 1.0 / points + (size - mean) * (size - mean) / squares);
        return new Estimate(value, value - half, value + half, size / most);
    }
}
