package rockshift.planner;

import java.util.List;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Turns the solver's rates into the target of each table entry, as a fraction of its table.
 *
 * <p>Inputs: the link copies of a table's routes, capacities as shares of the fleet, and the rates
 * of the busiest proxies in transactions a second. Started replicas get their part of the rates,
 * and a floor; slow-starting ones are limited.
 *
 * <p>Guards against a slow-starting replica that gets the work of others: proxies leave out entries
 * where attempts failed, and the rest of the table gets their part. In a short table all started
 * entries may be left out. Shows as failures at replicas that have just started, while one proxy is
 * busy. Holds because no table gives slow-starting replicas more than a bounded multiple of their
 * part of the fleet, and each is left out of tables through which one proxy alone could overload
 * it.
 */
final class TargetWeights {
    /** Fraction of an even entry that every entry keeps, so that reports of the replica go on. */
    private static final double FLOOR_FRACTION = 0.02;

    /**
     * Most that a slow-starting entry may have of a whole-fleet table, in its replica's fair
     * shares.
     */
    private static final double MAX_SLOW_STARTING_SHARE_RATIO = 1.5;

    /**
     * Most that a proxy with a whole-fleet table may receive, in a slow-starting replica's parts.
     */
    private static final double MAX_PROXY_RATE_RATIO = 40;

    /** Passes that redistribute the weight that slow-starting entries give up. */
    private static final int REBALANCE_PASSES = 5;

    /**
     * What is the same for all tables of a planning round.
     *
     * @param expectedPerTick transactions a tick that this controller's proxies are expected to
     *     receive
     * @param fleetRatePerSecond an estimate for the proxies of all controllers
     * @param busiestProxyRatePerSecond the highest recent rate of one class at one proxy
     * @param wholeFleet whether tables have entries for the whole fleet
     */
    record RoundInputs(
            double expectedPerTick,
            double fleetRatePerSecond,
            double busiestProxyRatePerSecond,
            boolean wholeFleet,
            long now) {}

    /**
     * What limits the slow-starting entries of one table.
     *
     * @param floor least fraction of an entry
     * @param shareWithoutLargest fraction of the table that is left without its largest started
     *     entry
     * @param hasStarted whether started entries can take the work instead
     * @param busiestProxyRate transactions a second of one class that one proxy may receive
     * @param safeSlowStartingRate transactions a second that are safe for the slow-starting
     *     replicas together
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

    /** The round's inputs, with a number of proxies joined to this controller. */
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

    /** Limits slow-starting entries by what the sum of the table was in the pass before. */
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

    /**
     * The share of a slow-starting entry: 0 where one proxy could overload the replica through it,
     * else limited by its replica's share of the open capacity.
     */
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

    /** The rate of one class that is safe for all slow-starting replicas of a table together. */
    private double safeSlowStartingRatePerSecond(RoutingTable table, RoundInputs round) {
        double slowStartingCapacity =
                table.capacityOf(route -> route.isAllowed() && isSlowStarting(route, round));
        return slowStart.safeLoadRatio()
                * slowStartingCapacity
                * round.fleetRatePerSecond
                / classCount;
    }

    /** The rate of one class up to which a proxy may have a slow-starting route in its table. */
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
     * What remains of a table after removals keeps its scale, so that a removal alone makes no
     * other entry be sent anew.
     */
    private static double weightScale(RoutingTable table, List<Route> routes) {
        double publishedSum = routes.stream().mapToDouble(Route::publishedWeight).sum();
        double publishedTargetSum =
                routes.stream()
                        .mapToDouble(
                                route -> route.publishedWeight() > 0 ? route.targetFraction() : 0)
                        .sum();
        return table.group().boundProxies() > 0 && publishedTargetSum > 0
                ? publishedSum / publishedTargetSum
                : 1;
    }

    private boolean isSlowStarting(Route route, RoundInputs round) {
        return slowStart.isSlowStarting(route.replica(), round.now);
    }
}
