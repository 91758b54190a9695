package rockshift.planner;

import java.util.Collection;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import rockshift.model.ClassSet;

/**
 * Routing table of one class at one {@link ProxyGroup}; in the paper's terms (see {@link
 * AlphaFairSolver}) a request whose paths are the routes to the group's replicas.
 */
final class RoutingTable {
    private final ProxyGroup group;
    private final int classNumber;
    private final int number;
    private final ClassSet classes;
    private final TreeMap<Long, Route> routes = new TreeMap<>();
    private double demandShare;
    private double previousDemandShare;
    private double openCapacity;
    private double linkCopyTotal;
    private double publishedLevel;
    private int entryCount;
    private double weightScale = 1;

    RoutingTable(ProxyGroup group, int classNumber, int number) {
        this.group = group;
        this.classNumber = classNumber;
        this.number = number;
        classes = ClassSet.of(classNumber);
    }

    ProxyGroup group() {
        return group;
    }

    int classNumber() {
        return classNumber;
    }

    /** Number by which the host knows the table. */
    int number() {
        return number;
    }

    /** The class of the table, as a set. */
    ClassSet classes() {
        return classes;
    }

    /** All routes, in the order of the replicas' ids. */
    Collection<Route> routes() {
        return routes.values();
    }

    void addRouteIfAbsent(Replica replica) {
        routes.computeIfAbsent(replica.id(), id -> new Route(this, replica));
    }

    /** Removes the routes that are neither published nor allowed any more. */
    void removeUnusedRoutes() {
        routes.values()
                .removeIf(
                        route ->
                                route.publishedWeight() == 0
                                        && !route.isAllowed()
                                        && route.replica().detach(route));
    }

    /** Whether no published entry leads to a replica that may get new work. */
    boolean hasNoAllowedEntry() {
        return routes.values().stream()
                .noneMatch(route -> route.publishedWeight() > 0 && route.isAllowed());
    }

    /** Returns whether all published entries, if any, lead to replicas of a set. */
    boolean leadsOnlyTo(Set<Replica> replicas) {
        return routes.values().stream()
                .filter(route -> route.publishedWeight() > 0)
                .allMatch(route -> replicas.contains(route.replica()));
    }

    /** Returns the total capacity of the replicas of the included routes. */
    double capacityOf(Predicate<Route> included) {
        return routes.values().stream()
                .filter(included)
                .mapToDouble(route -> route.replica().capacity())
                .sum();
    }

    /** The table's share of all demand: the weight of the request in the paper. */
    double demandShare() {
        return demandShare;
    }

    /** Demand share of the previous round; 0 if the table was not in use. */
    double previousDemandShare() {
        return previousDemandShare;
    }

    void resetDemand() {
        previousDemandShare = demandShare;
        demandShare = 0;
    }

    void addDemand(double ratePerSecond) {
        demandShare += ratePerSecond;
    }

    void setDemandShare(double share) {
        demandShare = share;
    }

    /** The capacity of all open routes: the paper's utopic total. */
    double openCapacity() {
        return openCapacity;
    }

    void setOpenCapacity(double capacity) {
        openCapacity = capacity;
    }

    /** Sum of the link copies z of the open routes; used for the paper's y, the request's total. */
    double linkCopyTotal() {
        return linkCopyTotal;
    }

    void setLinkCopyTotal(double total) {
        linkCopyTotal = total;
    }

    double publishedLevel() {
        return publishedLevel;
    }

    void setPublishedLevel(double level) {
        publishedLevel = level;
    }

    /** Number of entries in the published table as of the last batch. */
    int entryCount() {
        return entryCount;
    }

    void countEntries() {
        entryCount =
                (int) routes.values().stream().filter(route -> route.publishedWeight() > 0).count();
    }

    /** Removes all published entries, as the table has no proxies that would need them. */
    void clear(ProxyCommands commands) {
        entryCount = 0;
        for (Route route : routes.values()) {
            if (route.publishedWeight() > 0) {
                route.setPublishedWeight(0);
                commands.setTableEntry(number, route.replica().id(), 0);
            }
        }
    }

    /** Sum that the published weights have where the target fractions sum to 1. */
    double weightScale() {
        return weightScale;
    }

    void setWeightScale(double scale) {
        weightScale = scale;
    }
}
