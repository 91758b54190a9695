package rockshift.planner;

/**
 * Baseline rate of the joined proxies, at present and on average over the windows in which evidence
 * was gathered.
 *
 * <p>Guards against estimates for an earlier part of the fleet: when other controllers stop, the
 * rest get their proxies at once, while reports still cover the time before. The symptom is
 * refusals with idle replicas. The guard holds because rates are scaled by the growth of the joined
 * proxies' baseline rate; it misjudges a proxy whose rate is far from its baseline.
 */
final class BaselineRates {
    /** Two report periods, after which the reports of a new proxy have arrived. */
    private final double reportLagTicks;

    private double currentPerSecond;
    private double perSecondDuringCapacityWindow;
    private double perSecondDuringTrafficWindow;

    BaselineRates(long reportPeriodTicks) {
        reportLagTicks = 2.0 * reportPeriodTicks;
    }

    /**
     * Updates the present rate and the averages; until the first reports the averages equal the
     * present rate.
     */
    void update(double baselineRatePerSecond, long elapsedTicks, boolean reported) {
        double capacityTimeConstant = CapacityEstimator.TIME_CONSTANT_TICKS + reportLagTicks;
        double trafficTimeConstant = TrafficWindows.TIME_CONSTANT_TICKS + reportLagTicks;
        double capacityDecay = reported ? Math.exp(-elapsedTicks / capacityTimeConstant) : 0;
        double trafficDecay = reported ? Math.exp(-elapsedTicks / trafficTimeConstant) : 0;
        currentPerSecond = baselineRatePerSecond;
        perSecondDuringCapacityWindow =
                perSecondDuringCapacityWindow * capacityDecay
                        + currentPerSecond * (1 - capacityDecay);
        perSecondDuringTrafficWindow =
                perSecondDuringTrafficWindow * trafficDecay + currentPerSecond * (1 - trafficDecay);
    }

    /** Transactions per second that the joined proxies usually receive. */
    double currentPerSecond() {
        return currentPerSecond;
    }

    /** Ratio of the present baseline rate to its average over the capacity estimate's window. */
    double growthSinceCapacityWindow() {
        return growthSince(perSecondDuringCapacityWindow);
    }

    /** Ratio of the present baseline rate to its average over the window of arrivals. */
    double growthSinceTrafficWindow() {
        return growthSince(perSecondDuringTrafficWindow);
    }

    private double growthSince(double earlierPerSecond) {
        return currentPerSecond > 0 && earlierPerSecond > 0
                ? currentPerSecond / earlierPerSecond
                : 1;
    }
}
