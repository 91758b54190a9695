package rockshift.planner;

import java.util.Arrays;

/**
 * The nearest point whose sum stays within a limit: one and the same amount less of each, and
 * nothing below zero.
 */
final class SimplexProjection {
    private SimplexProjection() {}

    /** That amount; 0 where the sum fits already. Sorts the values that it is given. */
    static double cut(double[] values, double limit) {
        Arrays.sort(values);
        double prefix = 0;
        double cut = 0;
        for (int i = 1; i <= values.length; i++) {
            double value = values[values.length - i];
            prefix += value;
            double level = (prefix - limit) / i;
            cut = level <= value ? Math.max(0, level) : cut;
        }
        return cut;
    }
}
