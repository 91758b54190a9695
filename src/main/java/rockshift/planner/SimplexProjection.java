package rockshift.planner;

import java.util.Arrays;

/**
 * Projection onto the points of values above zero whose sum stays within a limit: the nearest one
 * has the same amount less of each value, and zero where that would be negative.
 */
final class SimplexProjection {
    private SimplexProjection() {}

    /** The amount to take off each value; 0 where the sum is within the limit. Sorts the values. */
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
