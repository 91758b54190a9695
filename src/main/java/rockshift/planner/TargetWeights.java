package rockshift.planner;

import java.util.List;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Computes the target of each table entry, as a fraction of its table, from the solver's rates.
 *
 * <p>Inputs: the solver's rates (the link copies of a table's routes), capacities as shares of the
 * fleet, and the rates of the busiest proxies in transactions per second. Started replicas get
 * their fraction of the rates, and at least a floor; slow-starting replicas are limited.
 *
 * <p>Guards against a slow-starting replica that gets the traffic of others: proxies skip entries
 * where attempts failed, and the rest of the table takes over their part. In a short table all
 * started entries may be skipped. The symptom is failures at replicas that have just started, while
 * one proxy is busy. The guard holds because no table gives slow-starting replicas more than a
 * bounded multiple of their part of the fleet, and no table that has started entries has an entry
 * through which one proxy alone could overload such a replica.
 */
final class TargetWeights {
    /**
     * Minimum weight of an entry, as a fraction of an equal share, so that reports about the
     * replica continue.
     */
    private static final double FLOOR_FRACTION = 0.02;

    /**
     * Maximum share of a slow-starting entry in a whole-fleet table, as a multiple of its replica's
     * fair share.
     */
    private static final double MAX_SLOW_STARTING_SHARE_RATIO = 1.5;

    /**
     * Maximum rate of a proxy whose whole-fleet table has a slow-starting entry, as a multiple of
     * that replica's part of the expected rate.
     */
    private static final double MAX_PROXY_RATE_RATIO = 40;

    /** Passes that adapt slow-starting entries to the sum of the table, which depends on them. */
    private static final int REBALANCE_PASSES = 5;

    /**
     * Inputs that are the same for all tables of a planning round.
     *
     * @param expectedPerTick transactions per tick that this controller's proxies are expected to
     *     receive
     * @param fleetRatePerSecond estimate of the transactions per second at the proxies of all
     *     controllers
     * @param busiestProxyRatePerSecond highest recent rate of one class at one proxy
     * @param wholeFleet whether tables have entries for the whole fleet
     */
    record RoundInputs(
            double expectedPerTick,
            double fleetRatePerSecond,
            double busiestProxyRatePerSecond,
            boolean wholeFleet,
            long now) {}

    /**
     * Limits of the slow-starting entries of one table.
     *
     * @param floor minimum fraction of an entry
     * @param shareWithoutLargest fraction of the table that is left without its largest started
     *     entry
     * @param hasStarted whether started entries can take over the traffic
     * @param busiestProxyRate transactions per second of one class that one proxy may receive
     * @param safeSlowStartingRate transactions per second that are safe for the slow-starting
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

    /**
     * Returns the inputs of a round.
     *
     * @param joinedProxies number of proxies joined to this controller
     */
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
        // After failures proxies skip the largest entry, and the rest takes over its part.
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

    /**
     * Returns a route's fraction of the rates; without rates, its published fraction or else an
     * equal share.
     */
    private static double solvedFraction(Route route, double rateSum, double floor, int count) {
        if (rateSum > 0) {
            return Math.max(floor, route.linkCopy() / rateSum);
        }
        return route.publishedWeight() > 0
                ? route.publishedWeight() / route.table().weightScale()
                : 1.0 / count;
    }

    /**
     * Sets the target fractions. Slow-starting entries are limited relative to the sum of the table
     * in the previous pass.
     */
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
     * Returns the share of a slow-starting entry: 0 if one proxy could overload the replica through
     * it and the table has started entries, else limited by the replica's share of the open
     * capacity.
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

    /**
     * Returns the highest rate of one class that one proxy with this table has, or may soon have.
     */
    private static double busiestProxyRatePerSecond(RoutingTable table, RoundInputs round) {
        double atAnyProxy =
                round.wholeFleet
                        ? 0
                        : SlowStart.withoutSafetyMargin(round.busiestProxyRatePerSecond);
        return Math.max(table.group().busiestProxyRatePerSecond(), atAnyProxy);
    }

    /**
     * Returns the rate of one class that is safe for all slow-starting replicas of a table
     * together.
     */
    private double safeSlowStartingRatePerSecond(RoutingTable table, RoundInputs round) {
        double slowStartingCapacity =
                table.capacityOf(route -> route.isAllowed() && isSlowStarting(route, round));
        return slowStart.safeLoadRatio()
                * slowStartingCapacity
                * round.fleetRatePerSecond
                / classCount;
    }

    /**
     * Returns the rate of one class up to which a proxy may have a slow-starting entry in its
     * table.
     */
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
     * Returns the factor from target fractions to weights. Entries that remain after removals keep
     * their scale, so that a removal alone does not cause other entries to be sent again.
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
