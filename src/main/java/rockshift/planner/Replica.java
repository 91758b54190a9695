package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import rockshift.model.Endpoint;

/**
 * Replica as the planner knows it; in the paper's terms (see {@link AlphaFairSolver}) a link,
 * shared by all routes that lead to it. Each part has one writer: {@link ReplicaRegistry} the
 * endpoint, {@link OperatorDrains} and {@link DrainNotifier} their flags, {@link CapacityEstimator}
 * the capacity, {@link ProxyGroup} the membership counts, {@link ActiveRoutes} the routes in use.
 */
final class Replica {
    private final long id;
    private String zone = "";
    private String machineType;
    private Endpoint.Health health = Endpoint.Health.READY;
    private long startedAtTicks;
    private long changedAtTicks;
    private boolean drainedByOperator;
    private boolean drainNotice;
    private final LoadEvidence loadEvidence = new LoadEvidence();
    private final ReplicaObservations ownZoneObservations = new ReplicaObservations();
    private final ReplicaObservations otherZoneObservations = new ReplicaObservations();
    private double capacity;
    private double previousCapacity;
    private final List<Route> routes = new ArrayList<>();
    private final List<Route> routesInUse = new ArrayList<>();
    private int ownZoneGroups;
    private int otherZoneGroups;

    Replica(long id) {
        this.id = id;
    }

    long id() {
        return id;
    }

    String zone() {
        return zone;
    }

    String machineType() {
        return machineType;
    }

    Endpoint.Health health() {
        return health;
    }

    /** When it last started; 0 if that is long past. */
    long startedAtTicks() {
        return startedAtTicks;
    }

    /** When its health last changed, or it restarted. */
    long changedAtTicks() {
        return changedAtTicks;
    }

    /**
     * Updates zone, machine type and start time from discovery; a restart discards earlier
     * evidence.
     */
    void updateEndpoint(Endpoint endpoint) {
        if (endpoint.startedAtTicks() > startedAtTicks) {
            startedAtTicks = endpoint.startedAtTicks();
            loadEvidence.reset();
            resetObservations();
        }
        zone = endpoint.zone();
        machineType = endpoint.machineType();
    }

    void changeHealth(Endpoint.Health to, long now) {
        health = to;
        changedAtTicks = now;
    }

    /** Whether it may get new work: listed as ready, and not drained by an operator. */
    boolean acceptsNewWork() {
        return health == Endpoint.Health.READY && !drainedByOperator;
    }

    boolean isDrainedByOperator() {
        return drainedByOperator;
    }

    void setDrainedByOperator(boolean drained) {
        drainedByOperator = drained;
    }

    /**
     * Whether a proxy was sent a drain notice about it; the notice overrides the proxy's tables.
     */
    boolean hasDrainNotice() {
        return drainNotice;
    }

    void setDrainNotice(boolean notice) {
        drainNotice = notice;
    }

    /** Records a report of proxies in a zone; the load is null if the replica reported none. */
    void recordReport(String fromZone, int attempts, int failures, int lateResponses, Double load) {
        boolean ownZone = fromZone.equals(zone);
        ReplicaObservations observations = ownZone ? ownZoneObservations : otherZoneObservations;
        double loadSum = load == null ? 0 : attempts * load;
        observations.add(attempts, failures, ownZone ? 0 : lateResponses, loadSum);
        loadEvidence.add(attempts, failures, load);
    }

    LoadEvidence loadEvidence() {
        return loadEvidence;
    }

    ReplicaObservations ownZoneObservations() {
        return ownZoneObservations;
    }

    ReplicaObservations otherZoneObservations() {
        return otherZoneObservations;
    }

    ReplicaObservations allObservations() {
        return ReplicaObservations.combined(ownZoneObservations, otherZoneObservations);
    }

    double failures() {
        return ownZoneObservations.failures() + otherZoneObservations.failures();
    }

    void resetObservations() {
        ownZoneObservations.reset();
        otherZoneObservations.reset();
    }

    /** Whether it is ejected for all proxies. */
    boolean isEjected() {
        return ownZoneObservations.ejection().isActive();
    }

    /** Whether it is ejected for proxies of other zones, while those of its own still use it. */
    boolean isEjectedForOtherZones() {
        return otherZoneObservations.ejection().isActive();
    }

    /** Capacity as a fraction of that of all replicas in use. */
    double capacity() {
        return capacity;
    }

    /** Capacity of the previous round. */
    double previousCapacity() {
        return previousCapacity;
    }

    void beginCapacityRound() {
        previousCapacity = capacity;
    }

    void setCapacity(double value) {
        capacity = value;
    }

    void attach(Route route) {
        routes.add(route);
    }

    /**
     * Removes a route.
     *
     * @return whether it was present
     */
    boolean detach(Route route) {
        return routes.remove(route);
    }

    /** Whether a published table has an entry for it. */
    boolean isInTables() {
        return routes.stream().anyMatch(route -> route.publishedWeight() > 0);
    }

    /** Routes to it from tables that have proxies now. */
    List<Route> routesInUse() {
        return routesInUse;
    }

    void clearRoutesInUse() {
        routesInUse.clear();
    }

    void addRouteInUse(Route route) {
        routesInUse.add(route);
    }

    /** Number of groups of its own zone, or of the others, that have it in their subset. */
    int groupCount(ZoneRelation relation) {
        return relation == ZoneRelation.SAME_ZONE ? ownZoneGroups : otherZoneGroups;
    }

    /** Whether any group has it in its subset. */
    boolean isInGroups() {
        return ownZoneGroups + otherZoneGroups > 0;
    }

    void joinedGroup(ZoneRelation relation) {
        countGroup(relation, 1);
    }

    void leftGroup(ZoneRelation relation) {
        countGroup(relation, -1);
    }

    private void countGroup(ZoneRelation relation, int change) {
        if (relation == ZoneRelation.SAME_ZONE) {
            ownZoneGroups += change;
        } else {
            otherZoneGroups += change;
        }
    }
}
