package rockshift.planner;

import java.util.List;

/**
 * Allocates the capacity of the replicas to the tables alpha-fairly: FD-ADMM of "Multi-Path
 * Alpha-Fair Resource Allocation at Scale in Distributed Software Defined Networks", with the
 * switching cost of its section on reconfiguration.
 *
 * <p>In the paper's terms a request r is a {@link RoutingTable} with weight w_r, a link l is a
 * {@link Replica} with capacity c_l, and a path is a {@link Route}; capacities and weights are
 * shares that sum to 1. With one link per path, each path has a request copy x, a link copy z and a
 * single dual, as its two duals are opposite.
 *
 * <p>Guards against allocations between iterations that exceed the capacity of a replica: only link
 * copies are published, and each iteration projects these onto the capacity. The symptom would be
 * loads above 1 at single replicas right after a change. The guard holds because copies are scaled
 * with capacity and demand before the iterations, so that they stay feasible when a capacity falls.
 */
final class AlphaFairSolver {
    /** Fairness exponent; 1 is proportional fairness. */
    private static final double ALPHA = 1;

    private static final int ITERATIONS = 5;

    /**
     * Theta, the switching cost, in mean entries: an entry only moves if it is off by more than
     * this.
     */
    private static final double SWITCHING_COST_ENTRIES = 0.07;

    /** Cost of a path to another zone at a zone-crossing price of 1, in mean entries. */
    private static final double CROSSING_COST_ENTRIES = 3;

    /** Cost of a path to another zone if all its responses are late, in mean entries. */
    private static final double LATE_COST_ENTRIES = 0.5;

    private final RouteEligibility eligibility;

    AlphaFairSolver(RouteEligibility eligibility) {
        this.eligibility = eligibility;
    }

    /**
     * Adapts the iterates of the previous round to new capacities, demand shares and eligibility.
     */
    void warmStart(List<RoutingTable> tables) {
        for (RoutingTable table : tables) {
            table.setOpenCapacity(table.capacityOf(eligibility::isOpen));
            table.routes().forEach(this::warmStart);
        }
    }

    /**
     * Scales a path's copies in proportion to its link's capacity and its request's demand, so that
     * they stay feasible and small requests are not distorted by what large ones gain. A new path
     * starts at the optimum of the unperturbed problem.
     */
    private void warmStart(Route route) {
        RoutingTable table = route.table();
        Replica link = route.replica();
        boolean hasPreviousState =
                route.isOpen()
                        && table.previousDemandShare() > 0
                        && link.previousCapacity() > 0
                        && link.capacity() > 0;
        route.setEligibility(eligibility.isAllowed(route), eligibility.isOpen(route));
        if (!route.isOpen()) {
            route.initializeCopies(0);
        } else if (hasPreviousState) {
            route.scaleCopies(
                    link.capacity()
                            / link.previousCapacity()
                            * table.demandShare()
                            / table.previousDemandShare());
        } else {
            route.initializeCopies(
                    table.demandShare()
                            * link.capacity()
                            / Math.max(table.openCapacity(), Double.MIN_NORMAL));
        }
        if (!hasPreviousState) {
            route.initializeDual(Math.pow(table.demandShare(), 1 - ALPHA));
        }
    }

    /**
     * Runs the iterations of a round.
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
     * Returns the paper's initial penalty, from the curvature of the utilities at the utopic
     * totals, where it is least, and at the lower bounds d of the totals, where it is greatest. The
     * weights sum to 1.
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

    /** Projects a link's copies z to the nearest point whose sum stays within the capacity. */
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
     * Updates a request's copies x by a root search that starts at the sum of the link copies as of
     * the previous iteration, then updates that sum. The table keeps this sum rather than the root,
     * because published weights are taken as fractions of it.
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
