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
    private static final double MAX_COLD_SHARE_RATIO = 1.5;

    /** Times a cold replica's part that a proxy with a table of the whole fleet may bring. */
    private static final double MAX_PROXY_RATE_RATIO = 40;

    /** Rounds in which cold entries get what others leave; few remain to be moved after these. */
    private static final int ROUNDS = 5;

    /**
     * What is the same for all tables of a planning round.
     *
     * @param expectedPerTick transactions that this controller's proxies bring
     * @param fleetRatePerSecond an estimate for the proxies of all controllers
     * @param hottestRatePerSecond the most of one class that one proxy brought of late
     * @param wholeFleet whether tables have entries for the whole fleet
     */
    record Round(
            double expectedPerTick,
            double fleetRatePerSecond,
            double hottestRatePerSecond,
            boolean wholeFleet,
            long now) {}

    /**
     * What limits the cold entries of one table.
     *
     * @param floor least fraction of an entry
     * @param besideLargest fraction of the table that is left without its largest warm entry
     * @param hasWarm whether warm entries can take the work instead
     * @param hottestRate transactions a second that one proxy may bring
     * @param safeColdRate transactions a second that are safe for the cold replicas together
     */
    private record ColdLimits(
            double floor,
            double besideLargest,
            boolean hasWarm,
            double hottestRate,
            double safeColdRate) {}

    private final SlowStart slowStart;
    private final double expectedProxies;
    private final int classCount;

    TargetWeights(SlowStart slowStart, PlannerSettings settings) {
        this.slowStart = slowStart;
        expectedProxies = settings.expectedProxies();
        classCount = settings.classes().size();
    }

    /** The round's inputs, with so many proxies joined here. */
    Round round(DemandEstimator demand, int joinedProxies, boolean wholeFleet, long now) {
        double expectedPerTick = demand.expectedPerTick();
        return new Round(
                expectedPerTick,
                expectedPerTick
                        * Ticks.TICKS_PER_SECOND
                        * Math.max(1, expectedProxies / joinedProxies),
                demand.hottestRatePerSecond(),
                wholeFleet,
                now);
    }

    /** Sets the target fractions of a table's allowed routes, and the table's weight scale. */
    void update(RoutingTable table, Round round) {
        List<Route> routes = table.routes().stream().filter(Route::isAllowed).toList();
        double rateSum = routes.stream().mapToDouble(Route::linkCopy).sum();
        double largestWarmRate =
                routes.stream()
                        .mapToDouble(route -> isCold(route, round) ? 0 : route.linkCopy())
                        .max()
                        .orElse(0);
        double floor = FLOOR_FRACTION / routes.size();
        double[] fractions = new double[routes.size()];
        for (int i = 0; i < fractions.length; i++) {
            fractions[i] = solvedFraction(routes.get(i), rateSum, floor, fractions.length);
        }
        // Proxies leave out the largest entry after failures there: the rest takes its part.
        double besideLargest = rateSum > 0 ? 1 - largestWarmRate / rateSum : 1;
        setTargets(
                routes,
                fractions,
                new ColdLimits(
                        floor,
                        besideLargest,
                        largestWarmRate > 0,
                        hottestRatePerSecond(table, round),
                        safeColdRatePerSecond(table, round)),
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
            List<Route> routes, double[] solvedFractions, ColdLimits limits, Round round) {
        double sum = 1;
        for (int i = 0; i < ROUNDS; i++) {
            double previousSum = sum;
            sum = 0;
            for (int k = 0; k < solvedFractions.length; k++) {
                Route route = routes.get(k);
                double target =
                        isCold(route, round)
                                ? coldTarget(route, solvedFractions[k], previousSum, limits, round)
                                : solvedFractions[k];
                route.setTargetFraction(target);
                sum += target;
            }
        }
    }

    private static double coldTarget(
            Route route, double solvedFraction, double tableSum, ColdLimits limits, Round round) {
        if (limits.hasWarm
                && limits.hottestRate > safeProxyRate(route, limits.safeColdRate, round)) {
            return 0;
        }
        double reachable = Math.max(route.table().reachableCapacity(), Double.MIN_NORMAL);
        double fair = limits.besideLargest * route.replica().capacity() / reachable;
        double most =
                round.wholeFleet
                        ? Math.min(
                                solvedFraction,
                                tableSum * (MAX_COLD_SHARE_RATIO * fair + limits.floor))
                        : tableSum * fair;
        return Math.max(limits.floor, most);
    }

    /** The highest rate of one class at one proxy with this table, now or soon. */
    private static double hottestRatePerSecond(RoutingTable table, Round round) {
        double elsewhere =
                round.wholeFleet ? 0 : SlowStart.safeFractionOf(round.hottestRatePerSecond);
        return Math.max(table.group().hottestRatePerSecond(), elsewhere);
    }

    /** The rate of one class that is safe for all cold replicas of a table together. */
    private double safeColdRatePerSecond(RoutingTable table, Round round) {
        double cold = table.capacityOf(route -> route.isAllowed() && isCold(route, round));
        return slowStart.safeLoadRatio() * cold * round.fleetRatePerSecond / classCount;
    }

    /** What one proxy may bring of a class with a cold route in its table. */
    private static double safeProxyRate(Route route, double safeColdRate, Round round) {
        return round.wholeFleet
                ? MAX_PROXY_RATE_RATIO
                        * route.replica().capacity()
                        * round.expectedPerTick
                        * Ticks.TICKS_PER_SECOND
                : safeColdRate;
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

    private boolean isCold(Route route, Round round) {
        return slowStart.isCold(route.replica(), round.now);
    }
}
