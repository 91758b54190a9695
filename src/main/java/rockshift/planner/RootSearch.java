package rockshift.planner;

/**
 * Finds the total rate of one class with a switching cost: the root of {@code sum(x_p(y)) = y},
 * where each path's rate is
 *
 * <pre>  x_p(y) = c_p + shrink(m_p + penalty * w / y^alpha, theta)</pre>
 *
 * with its current rate c_p, its move m_p, and shrink as soft thresholding: a path moves only by
 * what exceeds the switching cost theta.
 */
final class RootSearch {
    private static final int MAX_STEPS = 40;
    private static final double PRECISION = 1e-12;

    private final double alpha;
    private final double weightedPenalty;
    private final double switchingCost;
    private final double[] current;
    private final double[] moves;

    /**
     * One search.
     *
     * @param weightedPenalty penalty times the request's weight w
     * @param current by path, the rate that is published
     * @param moves by path, what the duals and costs alone would move it by
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
     * The marginal utility at the root. Steps by the slope where that stays between the bounds,
     * else by halves: a third of the steps of halving alone.
     *
     * @param lastTotal the total of the iteration before, where the search begins
     */
    double marginalUtility(double lastTotal) {
        double high = 2;
        double low = 0;
        double marginal = 0;
        double total = lastTotal > 0 && lastTotal < high ? lastTotal : 1;
        for (int i = 0; i < MAX_STEPS && high - low > PRECISION; i++) {
            marginal = weightedPenalty / (alpha == 1 ? total : Math.pow(total, alpha));
            double sum = 0;
            int moving = 0;
            for (int path = 0; path < moves.length; path++) {
                double magnitude = Math.abs(moves[path] + marginal) - switchingCost;
                sum +=
                        current[path]
                                + (magnitude <= 0
                                        ? 0
                                        : moves[path] + marginal > 0 ? magnitude : -magnitude);
                moving += magnitude > 0 ? 1 : 0;
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
        double move = moves[path] + marginal;
        return current[path] + Math.signum(move) * Math.max(0, Math.abs(move) - switchingCost);
    }
}
