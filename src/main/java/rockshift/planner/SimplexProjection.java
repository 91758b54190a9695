package rockshift.planner;

import java.util.Arrays;

/**
 * Projection of values onto the nearest non-negative point whose sum stays within a limit: the same
 * amount is subtracted from each value, and a value that would become negative is zero.
 */
final class SimplexProjection {
    private SimplexProjection() {}

    /**
     * Returns the amount to subtract from each value; 0 if the sum is within the limit. Sorts the
     * values in place.
     */
    static double excess(double[] values, double limit) {
        Arrays.sort(values);
        double prefixSum = 0;
        double excess = 0;
        for (int i = 1; i <= values.length; i++) {
            double value = values[values.length - i];
            prefixSum += value;
            double candidate = (prefixSum - limit) / i;
            excess = candidate <= value ? Math.max(0, candidate) : excess;
        }
        return excess;
    }
}
