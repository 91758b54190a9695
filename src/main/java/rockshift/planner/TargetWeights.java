package rockshift.planner;

import java.util.List;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Turns the solver's rates into the target of each table entry, as a fraction of its table.
 *
 * <p>Inputs: the link copies of a table's routes, capacities as shares of the fleet, and what the
 * hottest proxies bring in transactions a second. Warm replicas get their part of the rates, and a
 * floor; cold replicas are limited.
 *
 * <p>Guards against a cold replica that gets the work of others: proxies leave out entries where
 * attempts failed, and the rest of the table gets its part. In a short table all warm entries may
 * be left out. Shows as failures at replicas that have just started, while one proxy is busy. Holds
 * because no table leans on cold replicas beyond their part of the fleet, and none is left in a
 * table that one proxy alone could overload it through.
 */
final class TargetWeights {
    /** Fraction of an even entry that every entry keeps: enough to go on hearing of the replica. */
    private static final double FLOOR_FRACTION = 0.02;

    /** Times its part of the fleet that a cold replica may be of a table of the whole fleet. */
    private static final double MAX_SLOW_STARTING_SHARE_RATIO = 1.5;

    /** Times a cold replica's part that a proxy with a table of the whole fleet may bring. */
    private static final double MAX_PROXY_RATE_RATIO = 40;

    /** Rounds in which cold entries get what others leave; few remain to be moved after these. */
    private static final int REBALANCE_PASSES = 5;

    /**
     * What is the same for all tables of a planning round.
     *
     * @param expectedPerTick transactions that this controller's proxies bring
     * @param fleetRatePerSecond an estimate for the proxies of all controllers
     * @param busiestProxyRatePerSecond the most of one class that one proxy brought of late
     * @param wholeFleet whether tables have entries for the whole fleet
     */
    record RoundInputs(
            double expectedPerTick,
            double fleetRatePerSecond,
            double busiestProxyRatePerSecond,
            boolean wholeFleet,
            long now) {}

    /**
     * What limits the cold entries of one table.
     *
     * @param floor least fraction of an entry
     * @param shareWithoutLargest fraction of the table that is left without its largest warm entry
     * @param hasStarted whether warm entries can take the work instead
     * @param busiestProxyRate transactions a second that one proxy may bring
     * @param safeSlowStartingRate transactions a second that are safe for the cold replicas
     *     together
     */
    private record SlowStartLimits(
            double floor,
            double shareWithoutLargest,
            boolean hasStarted,
            double busiestProxyRate,
            double safeSlowStartingRate) {}

    private final SlowStart slowStart;
    private final double expectedProxies;
    private final int classCount;

    TargetWeights(SlowStart slowStart, PlannerSettings settings) {
        this.slowStart = slowStart;
        expectedProxies = settings.expectedProxies();
        classCount = settings.classes().size();
    }

    /** The round's inputs, with so many proxies joined here. */
    RoundInputs roundInputs(
            DemandEstimator demand, int joinedProxies, boolean wholeFleet, long now) {
        double expectedPerTick = demand.expectedPerTick();
        return new RoundInputs(
                expectedPerTick,
                expectedPerTick
                        * Ticks.TICKS_PER_SECOND
                        * Math.max(1, expectedProxies / joinedProxies),
                demand.busiestProxyRatePerSecond(),
                wholeFleet,
                now);
    }

    /** Sets the target fractions of a table's allowed routes, and the table's weight scale. */
    void updateTargets(RoutingTable table, RoundInputs round) {
        List<Route> routes = table.routes().stream().filter(Route::isAllowed).toList();
        double rateSum = routes.stream().mapToDouble(Route::linkCopy).sum();
        double largestStartedRate =
                routes.stream()
                        .mapToDouble(route -> isSlowStarting(route, round) ? 0 : route.linkCopy())
                        .max()
                        .orElse(0);
        double floor = FLOOR_FRACTION / routes.size();
        double[] fractions = new double[routes.size()];
        for (int i = 0; i < fractions.length; i++) {
            fractions[i] = solvedFraction(routes.get(i), rateSum, floor, fractions.length);
        }
        // Proxies leave out the largest entry after failures there: the rest takes its part.
        double shareWithoutLargest = rateSum > 0 ? 1 - largestStartedRate / rateSum : 1;
        setTargets(
                routes,
                fractions,
                new SlowStartLimits(
                        floor,
                        shareWithoutLargest,
                        largestStartedRate > 0,
                        busiestProxyRatePerSecond(table, round),
                        safeSlowStartingRatePerSecond(table, round)),
                round);
        table.setWeightScale(weightScale(table, routes));
    }

    /** The part of the rates; before there are any, the published part, or an even one. */
    private static double solvedFraction(Route route, double rateSum, double floor, int count) {
        if (rateSum > 0) {
            return Math.max(floor, route.linkCopy() / rateSum);
        }
        return route.publishedWeight() > 0
                ? route.publishedWeight() / route.table().weightScale()
                : 1.0 / count;
    }

    private void setTargets(
            List<Route> routes,
            double[] solvedFractions,
            SlowStartLimits limits,
            RoundInputs round) {
        double sum = 1;
        for (int i = 0; i < REBALANCE_PASSES; i++) {
            double previousSum = sum;
            sum = 0;
            for (int k = 0; k < solvedFractions.length; k++) {
                Route route = routes.get(k);
                double target =
                        isSlowStarting(route, round)
                                ? slowStartingTarget(
                                        route, solvedFractions[k], previousSum, limits, round)
                                : solvedFractions[k];
                route.setTargetFraction(target);
                sum += target;
            }
        }
    }

    private static double slowStartingTarget(
            Route route,
            double solvedFraction,
            double tableSum,
            SlowStartLimits limits,
            RoundInputs round) {
        if (limits.hasStarted
                && limits.busiestProxyRate
                        > safeProxyRate(route, limits.safeSlowStartingRate, round)) {
            return 0;
        }
        double openCapacity = Math.max(route.table().openCapacity(), Double.MIN_NORMAL);
        double fairShare = limits.shareWithoutLargest * route.replica().capacity() / openCapacity;
        double maxShare =
                round.wholeFleet
                        ? Math.min(
                                solvedFraction,
                                tableSum
                                        * (MAX_SLOW_STARTING_SHARE_RATIO * fairShare
                                                + limits.floor))
                        : tableSum * fairShare;
        return Math.max(limits.floor, maxShare);
    }

    /** The highest rate of one class at one proxy with this table, now or soon. */
    private static double busiestProxyRatePerSecond(RoutingTable table, RoundInputs round) {
        double elsewhere =
                round.wholeFleet
                        ? 0
                        : SlowStart.withoutSafetyMargin(round.busiestProxyRatePerSecond);
        return Math.max(table.group().busiestProxyRatePerSecond(), elsewhere);
    }

    /** The rate of one class that is safe for all cold replicas of a table together. */
    private double safeSlowStartingRatePerSecond(RoutingTable table, RoundInputs round) {
        double slowStartingCapacity =
                table.capacityOf(route -> route.isAllowed() && isSlowStarting(route, round));
        return slowStart.safeLoadRatio()
                * slowStartingCapacity
                * round.fleetRatePerSecond
                / classCount;
    }

    /** What one proxy may bring of a class with a cold route in its table. */
    private static double safeProxyRate(
            Route route, double safeSlowStartingRate, RoundInputs round) {
        return round.wholeFleet
                ? MAX_PROXY_RATE_RATIO
                        * route.replica().capacity()
                        * round.expectedPerTick
                        * Ticks.TICKS_PER_SECOND
                : safeSlowStartingRate;
    }

    /**
     * What remains of a table after removals keeps its scale, so that no entry need be sent anew
     * for another's going.
     */
    private static double weightScale(RoutingTable table, List<Route> routes) {
        double standing = routes.stream().mapToDouble(Route::publishedWeight).sum();
        double targets =
                routes.stream()
                        .mapToDouble(
                                route -> route.publishedWeight() > 0 ? route.targetFraction() : 0)
                        .sum();
        return table.group().boundProxies() > 0 && targets > 0 ? standing / targets : 1;
    }

    private boolean isSlowStarting(Route route, RoundInputs round) {
        return slowStart.isSlowStarting(route.replica(), round.now);
    }
}
