package rockshift.planner;

import java.util.Collection;
import java.util.List;

/**
 * What a planning round is about: the tables that have proxies now, and the replicas that routes of
 * these tables lead to.
 */
record ActiveRoutes(List<RoutingTable> tables, List<Replica> replicas) {
    static final ActiveRoutes NONE = new ActiveRoutes(List.of(), List.of());

    /** The tables of all groups that have proxies. */
    static List<RoutingTable> tablesInUse(List<ProxyGroup> groups) {
        return groups.stream()
                .filter(ProxyGroup::hasProxies)
                .flatMap(group -> group.tables().stream())
                .toList();
    }

    /** Notes at each replica its routes from these tables. */
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
