package rockshift.planner;

import java.util.List;
import rockshift.settings.ClassSettings;

/**
 * Determines which routes of a table may carry new requests. A replica accepts new work or not; a
 * route to it is allowed if the table may have an entry for it, and open if that entry may exceed
 * the floor weight.
 */
final class RouteEligibility {
    private final List<ClassSettings> classes;

    RouteEligibility(List<ClassSettings> classes) {
        this.classes = classes;
    }

    /**
     * Returns whether a table may have an entry for a route: its replica may get new work, is in
     * the subset of the table's group, and is in the group's zone if the class must stay in its
     * zone.
     */
    boolean isAllowed(Route route) {
        return maySend(route.table(), route.replica())
                && route.table().group().contains(route.replica());
    }

    /**
     * Returns whether proxies may send new requests of a table's class to a replica, in the subset
     * of the table's group or not.
     */
    boolean maySend(RoutingTable table, Replica replica) {
        return replica.acceptsNewWork()
                && (table.group().isInZoneOf(replica)
                        || !classes.get(table.classNumber()).restrictedToOwnZone());
    }

    /**
     * Returns whether an entry may exceed the floor weight: its route is allowed and its replica is
     * not ejected for the table's proxies.
     */
    boolean isOpen(Route route) {
        Replica replica = route.replica();
        return isAllowed(route)
                && !replica.isEjected()
                && (route.isOwnZone() || !replica.isEjectedForOtherZones());
    }
}
