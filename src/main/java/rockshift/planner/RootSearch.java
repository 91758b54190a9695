package rockshift.planner;

/**
 * Finds the total rate y of one class with a switching cost: the root of {@code sum(x_p(y)) = y},
 * where the rate of each path p is
 *
 * <pre>  x_p(y) = c_p + shrink(m_p + penalty * w / y^alpha, theta)</pre>
 *
 * with its current rate c_p, what the duals and costs alone would move it by m_p, and soft
 * thresholding: a path moves only by what exceeds the switching cost theta.
 */
final class RootSearch {
    private static final int MAX_STEPS = 40;
    private static final double PRECISION = 1e-12;

    /** Demand shares sum to 1, so a class's total stays well below. */
    private static final double MAX_TOTAL = 2;

    private final double alpha;
    private final double weightedPenalty;
    private final double switchingCost;
    private final double[] current;
    private final double[] moves;

    /**
     * One search.
     *
     * @param weightedPenalty penalty times the request's weight w
     * @param switchingCost theta
     * @param current c, by path
     * @param moves m, by path
     */
    RootSearch(
            double alpha,
            double weightedPenalty,
            double switchingCost,
            double[] current,
            double[] moves) {
        this.alpha = alpha;
        this.weightedPenalty = weightedPenalty;
        this.switchingCost = switchingCost;
        this.current = current;
        this.moves = moves;
    }

    /**
     * The marginal utility {@code penalty * w / y^alpha} at the root. Steps by the slope where that
     * stays between the bounds, else by halves, which takes a third of the steps of halving alone.
     *
     * @param lastTotal the sum of the link copies as of the iteration before, where the search
     *     begins
     */
    double marginalUtility(double lastTotal) {
        double high = MAX_TOTAL;
        double low = 0;
        double marginal = 0;
        double total = lastTotal > 0 && lastTotal < high ? lastTotal : 1;
        for (int i = 0; i < MAX_STEPS && high - low > PRECISION; i++) {
            marginal = weightedPenalty / (alpha == 1 ? total : Math.pow(total, alpha));
            double sum = 0;
            int moving = 0;
            for (int path = 0; path < moves.length; path++) {
                double move = shrink(moves[path] + marginal);
                sum += current[path] + move;
                moving += move == 0 ? 0 : 1;
            }
            low = sum > total ? total : low;
            high = sum > total ? high : total;
            double step = (sum - total) / (1 + moving * alpha * marginal / total);
            low = Math.abs(step) <= PRECISION ? high : low;
            total = total + step > low && total + step < high ? total + step : (low + high) / 2;
        }
        return marginal;
    }

    /** The rate of a path at a marginal utility. */
    double rate(int path, double marginal) {
        return current[path] + shrink(moves[path] + marginal);
    }

    private double shrink(double move) {
        double magnitude = Math.abs(move) - switchingCost;
        if (magnitude <= 0) {
            return 0;
        }
        return move > 0 ? magnitude : -magnitude;
    }
}
