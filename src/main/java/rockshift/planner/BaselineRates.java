package rockshift.planner;

/**
 * What the joined proxies usually get, now and as it was while evidence was gathered.
 *
 * <p>Guards against estimates at the old part of the fleet: when other controllers stop, the rest
 * get their proxies at once, while reports still tell of the time before. It shows as refusals with
 * idle replicas. Holds because rates are scaled by the growth of what the joined proxies usually
 * get; it misjudges a proxy that gets far from its usual rate.
 */
final class BaselineRates {
    /** Reports lag: two periods pass until those of a new proxy are in. */
    private final double reportLagTicks;

    private double current;
    private double duringCapacityWindow;
    private double duringTrafficWindow;

    BaselineRates(long reportPeriodTicks) {
        reportLagTicks = 2.0 * reportPeriodTicks;
    }

    /**
     * Notes the present sum of usual rates; until the first reports the windows follow it at once.
     */
    void update(double usualRatePerSecond, long elapsedTicks, boolean reported) {
        double capacityMemory = CapacityEstimator.MEMORY_TICKS + reportLagTicks;
        double trafficMemory = TrafficWindows.MEMORY_TICKS + reportLagTicks;
        double capacityKept = reported ? Math.exp(-elapsedTicks / capacityMemory) : 0;
        double trafficKept = reported ? Math.exp(-elapsedTicks / trafficMemory) : 0;
        current = usualRatePerSecond;
        duringCapacityWindow = duringCapacityWindow * capacityKept + current * (1 - capacityKept);
        duringTrafficWindow = duringTrafficWindow * trafficKept + current * (1 - trafficKept);
    }

    /** Transactions a second that the joined proxies usually get. */
    double currentPerSecond() {
        return current;
    }

    /**
     * Times what joined proxies usually got in the capacity estimate's window that they get now.
     */
    double growthSinceCapacityWindow() {
        return growthSince(duringCapacityWindow);
    }

    /** The same for the window of arrivals. */
    double growthSinceTrafficWindow() {
        return growthSince(duringTrafficWindow);
    }

    private double growthSince(double then) {
        return current > 0 && then > 0 ? current / then : 1;
    }
}
