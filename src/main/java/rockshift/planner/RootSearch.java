package rockshift.planner;

/**
 * Finds the total rate y of one class with a switching cost: the root of {@code sum(x_p(y)) = y},
 * where the rate of each path p is
 *
 * <pre>  x_p(y) = c_p + shrink(m_p + penalty * w / y^alpha, theta)</pre>
 *
 * Here c_p is the current rate of the path, m_p is the move that the duals and costs alone would
 * make, and shrink is soft thresholding: a path moves only by what exceeds the switching cost
 * theta.
 */
final class RootSearch {
    private static final int MAX_STEPS = 40;
    private static final double PRECISION = 1e-12;

    /** Upper bound of the search: demand shares sum to 1, so the total of a class is well below. */
    private static final double MAX_TOTAL = 2;

    private final double alpha;
    private final double weightedPenalty;
    private final double switchingCost;
    private final double[] current;
    private final double[] moves;

    /**
     * Creates a search.
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
     * Returns the marginal utility {@code penalty * w / y^alpha} at the root. Uses Newton steps
     * that stay within the bounds and bisection otherwise, which takes a third of the steps of
     * bisection alone.
     *
     * @param lastTotal sum of the link copies as of the previous iteration, where the search starts
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

    /** Returns the rate of a path at a marginal utility. */
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
