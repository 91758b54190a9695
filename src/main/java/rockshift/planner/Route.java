package rockshift.planner;

/**
 * A request's way to a replica: its own copy, the link's copy, their mean, the dual, and what was
 * sent.
 */
final class Route {
    final RoutingTable request;
    final Replica link;
    final boolean near;
    double x;
    double z;
    double mean;
    double dual;
    double target;
    double published;

    /** As of the last batch: whether the request may use it, and does. */
    boolean allowed;

    boolean open;

    Route(RoutingTable request, Replica link) {
        this.request = request;
        this.link = link;
        near = request.place.near(link);
        link.paths.add(this);
    }

    /** The consensus mean of both copies, and the dual that follows it. */
    void average(double penalty) {
        mean = (x + z) / 2;
        dual += (x - mean) / penalty;
    }

    /**
     * Carries the copies over to a changed capacity and demand in proportion: they stay feasible
     * when a capacity falls, and small requests are not bent by what large ones gain. A new path
     * starts at the optimum of the undisturbed problem, so that it need not be sought.
     */
    void carry(boolean known, double alpha) {
        double scale =
                known ? link.capacity / link.oldCapacity * request.weight / request.oldWeight : 0;
        double start = request.weight * link.capacity / Math.max(request.utopic, Double.MIN_NORMAL);
        x = !open ? 0 : known ? x * scale : start;
        z = !open ? 0 : known ? z * scale : start;
        dual = known ? dual : Math.pow(request.weight, 1 - alpha);
    }
}
