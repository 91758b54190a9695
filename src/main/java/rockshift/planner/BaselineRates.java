package rockshift.planner;

/**
 * The baseline rate of the joined proxies, now and as it was while evidence was gathered.
 *
 * <p>Guards against estimates for a former part of the fleet: when other controllers stop, the rest
 * get their proxies at once, while reports still cover the time before. It shows as refusals with
 * idle replicas. Holds because rates are scaled by the growth of the joined proxies' baseline rate;
 * it misjudges a proxy whose rate is far from its baseline.
 */
final class BaselineRates {
    /** Reports lag: two periods pass until those of a new proxy are in. */
    private final double reportLagTicks;

    private double currentPerSecond;
    private double perSecondDuringCapacityWindow;
    private double perSecondDuringTrafficWindow;

    BaselineRates(long reportPeriodTicks) {
        reportLagTicks = 2.0 * reportPeriodTicks;
    }

    /** Takes in the present sum; until the first reports the windows follow it at once. */
    void update(double baselineRatePerSecond, long elapsedTicks, boolean reported) {
        double capacityMemory = CapacityEstimator.MEMORY_TICKS + reportLagTicks;
        double trafficMemory = TrafficWindows.MEMORY_TICKS + reportLagTicks;
        double capacityKept = reported ? Math.exp(-elapsedTicks / capacityMemory) : 0;
        double trafficKept = reported ? Math.exp(-elapsedTicks / trafficMemory) : 0;
        currentPerSecond = baselineRatePerSecond;
        perSecondDuringCapacityWindow =
                perSecondDuringCapacityWindow * capacityKept
                        + currentPerSecond * (1 - capacityKept);
        perSecondDuringTrafficWindow =
                perSecondDuringTrafficWindow * trafficKept + currentPerSecond * (1 - trafficKept);
    }

    /** Transactions a second that the joined proxies usually receive. */
    double currentPerSecond() {
        return currentPerSecond;
    }

    /** Ratio of the present baseline rate to that in the capacity estimate's window. */
    double growthSinceCapacityWindow() {
        return growthSince(perSecondDuringCapacityWindow);
    }

    /** Ratio of the present baseline rate to that in the window of arrivals. */
    double growthSinceTrafficWindow() {
        return growthSince(perSecondDuringTrafficWindow);
    }

    private double growthSince(double earlierPerSecond) {
        return currentPerSecond > 0 && earlierPerSecond > 0
                ? currentPerSecond / earlierPerSecond
                : 1;
    }
}
