package rockshift.planner;

import java.util.Collection;
import java.util.List;

/**
 * Scope of a planning round: the tables that have proxies now, and the replicas that routes of
 * these tables lead to.
 */
record ActiveRoutes(List<RoutingTable> tables, List<Replica> replicas) {
    static final ActiveRoutes NONE = new ActiveRoutes(List.of(), List.of());

    /** Returns the tables of all groups that have proxies. */
    static List<RoutingTable> tablesInUse(List<ProxyGroup> groups) {
        return groups.stream()
                .filter(ProxyGroup::hasProxies)
                .flatMap(group -> group.tables().stream())
                .toList();
    }

    /** Collects the routes of these tables, and sets the routes in use of each replica. */
    static ActiveRoutes collect(List<RoutingTable> tables, Collection<Replica> replicas) {
        replicas.forEach(Replica::clearRoutesInUse);
        for (RoutingTable table : tables) {
            table.routes().forEach(route -> route.replica().addRouteInUse(route));
        }
        List<Replica> inUse =
                replicas.stream().filter(replica -> !replica.routesInUse().isEmpty()).toList();
        return new ActiveRoutes(tables, inUse);
    }

    int routeCount() {
        return replicas.stream().mapToInt(replica -> replica.routesInUse().size()).sum();
    }
}
