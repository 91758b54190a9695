package rockshift.planner;

import java.util.List;

/**
 * Shares the capacity of the replicas among the tables alpha-fairly: FD-ADMM of "Multi-Path
 * Alpha-Fair Resource Allocation at Scale in Distributed Software Defined Networks", with the
 * switching cost of its section on reconfiguration.
 *
 * <p>A request r is a {@link RoutingTable} with weight w_r, a link l a {@link Replica} with
 * capacity c_l, a path a {@link Route}; capacities and weights are shares that sum to 1. With one
 * link a path, each path has a request copy x, a link copy z and one dual, as its two duals are
 * opposite.
 *
 * <p>Guards against solutions that no replica can carry between the iterations: only link copies
 * are published, and these are projected onto the capacity each time. It would show as loads above
 * 1 at single replicas right after a change. Holds as copies are scaled with capacity and demand
 * before the iterations, so that they stay feasible when a capacity falls.
 */
final class AlphaFairSolver {
    /** Exponent of the fairness; 1 is proportional fairness. */
    private static final double ALPHA = 1;

    private static final int ITERATIONS = 5;

    /** Theta, the switching cost, in mean entries: what an entry must be off before it moves. */
    private static final double SWITCHING_COST_ENTRIES = 0.07;

    /** Cost of a path to another zone for a zone-crossing price of 1, in mean entries. */
    private static final double CROSSING_COST_ENTRIES = 3;

    /** Cost of a path to another zone if all its answers are late, in mean entries. */
    private static final double LATE_COST_ENTRIES = 0.5;

    private final RouteEligibility eligibility;

    AlphaFairSolver(RouteEligibility eligibility) {
        this.eligibility = eligibility;
    }

    // ---- carrying over --------------------------------------------------------------------------

    /** Carries the iterates over to new capacities, demand shares and eligibility. */
    void carryOver(List<RoutingTable> tables) {
        for (RoutingTable table : tables) {
            table.setOpenCapacity(table.capacityOf(eligibility::isOpen));
            table.routes().forEach(this::carryOver);
        }
    }

    /**
     * Scales a path's copies in proportion to its link's capacity and its request's demand: they
     * stay feasible, and small requests are not bent by what large ones gain. A new path starts at
     * the optimum of the undisturbed problem.
     */
    private void carryOver(Route route) {
        RoutingTable table = route.table();
        Replica link = route.replica();
        boolean known =
                route.isOpen()
                        && table.previousDemandShare() > 0
                        && link.previousCapacity() > 0
                        && link.capacity() > 0;
        route.setEligibility(eligibility.isAllowed(route), eligibility.isOpen(route));
        if (!route.isOpen()) {
            route.startCopies(0);
        } else if (known) {
            route.scaleCopies(
                    link.capacity()
                            / link.previousCapacity()
                            * table.demandShare()
                            / table.previousDemandShare());
        } else {
            route.startCopies(
                    table.demandShare()
                            * link.capacity()
                            / Math.max(table.openCapacity(), Double.MIN_NORMAL));
        }
        if (!known) {
            route.startDual(Math.pow(table.demandShare(), 1 - ALPHA));
        }
    }

    // ---- iterations ----------------------------------------------------------------------------

    /**
     * Runs a round's iterations.
     *
     * @param zoneCrossingPrice price of sending to another zone, as a fraction of the goal
     */
    void solve(ActiveRoutes routes, double zoneCrossingPrice) {
        double penalty = penalty(routes.tables());
        double meanEntry = 1.0 / Math.max(1, routes.routeCount());
        double crossingCost = CROSSING_COST_ENTRIES * zoneCrossingPrice;
        for (int i = 0; i < ITERATIONS; i++) {
            for (Replica link : routes.replicas()) {
                link.routesInUse().forEach(route -> route.averageCopies(penalty));
                project(link, penalty);
            }
            for (RoutingTable request : routes.tables()) {
                updateRequest(request, penalty, crossingCost, meanEntry);
            }
        }
    }

    /**
     * The paper's start of the penalty, from the curvature of the utilities at the utopic totals,
     * where it is least, and at the lower bounds d of the totals, where it is greatest. The weights
     * sum to 1.
     */
    static double penalty(List<RoutingTable> requests) {
        double lowestUtopicTotal =
                requests.stream()
                        .filter(request -> request.openCapacity() > 0)
                        .mapToDouble(request -> request.demandShare() * request.openCapacity())
                        .min()
                        .orElse(1);
        double leastCurvature = Double.MAX_VALUE;
        double greatestCurvature = 0;
        for (RoutingTable request : requests) {
            double weight = request.demandShare();
            double weightedUtopicTotal = weight * request.openCapacity();
            double lowerBound =
                    Math.pow(lowestUtopicTotal, 1 - 1 / ALPHA)
                            * Math.pow(weightedUtopicTotal, 1 / ALPHA);
            if (weightedUtopicTotal > 0) {
                leastCurvature =
                        Math.min(
                                leastCurvature,
                                weight / Math.pow(request.openCapacity(), ALPHA + 1));
                greatestCurvature =
                        Math.max(greatestCurvature, weight / Math.pow(lowerBound, ALPHA + 1));
            }
        }
        return greatestCurvature > 0 ? ALPHA / Math.sqrt(leastCurvature * greatestCurvature) : 1;
    }

    /** The link's copies z: the nearest point whose sum stays within the capacity. */
    private static void project(Replica link, double penalty) {
        List<Route> paths = link.routesInUse();
        for (Route path : paths) {
            path.setLinkCopy(path.isOpen() ? path.consensus() + penalty * path.dual() : 0);
        }
        double excess =
                SimplexProjection.excess(
                        paths.stream().mapToDouble(Route::linkCopy).toArray(), link.capacity());
        paths.forEach(path -> path.setLinkCopy(Math.max(0, path.linkCopy() - excess)));
    }

    /**
     * The request's copies x, by the root search, which begins at the sum of the link copies as of
     * the iteration before; then that sum anew. It is that sum, and not the root, that the table
     * keeps: published weights are taken as fractions of it.
     */
    private static void updateRequest(
            RoutingTable request, double penalty, double crossingCost, double meanEntry) {
        List<Route> open = request.routes().stream().filter(Route::isOpen).toList();
        double ratePerWeight = request.linkCopyTotal() / request.weightScale();
        double[] current =
                open.stream().mapToDouble(path -> path.publishedWeight() * ratePerWeight).toArray();
        double[] moves = new double[current.length];
        for (int i = 0; i < moves.length; i++) {
            Route path = open.get(i);
            moves[i] =
                    path.consensus()
                            - penalty * path.dual()
                            - crossingCost(path, crossingCost) * meanEntry
                            - current[i];
        }
        double theta = SWITCHING_COST_ENTRIES * meanEntry;
        RootSearch search =
                new RootSearch(ALPHA, penalty * request.demandShare(), theta, current, moves);
        double marginal = search.marginalUtility(request.linkCopyTotal());
        double linkCopyTotal = 0;
        for (int i = 0; i < moves.length; i++) {
            open.get(i).setRequestCopy(search.rate(i, marginal));
            linkCopyTotal += open.get(i).linkCopy();
        }
        request.setLinkCopyTotal(linkCopyTotal);
    }

    private static double crossingCost(Route path, double crossingCost) {
        if (path.isOwnZone()) {
            return 0;
        }
        return crossingCost + path.replica().otherZoneObservations().lateCost(LATE_COST_ENTRIES);
    }
}
