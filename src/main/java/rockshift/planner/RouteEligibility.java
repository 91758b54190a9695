package rockshift.planner;

import java.util.List;
import rockshift.settings.ClassSettings;

/**
 * Says which routes of a table may carry new work. A replica accepts new work or not; a route to it
 * is allowed if the table may have an entry for it, and open if that may exceed the floor weight.
 */
final class RouteEligibility {
    private final List<ClassSettings> classes;

    RouteEligibility(List<ClassSettings> classes) {
        this.classes = classes;
    }

    /**
     * Whether a table may have an entry: the replica may get new work, is in the subset of the
     * table's group, and in its zone where the class must stay in it.
     */
    boolean isAllowed(Route route) {
        RoutingTable table = route.table();
        return route.replica().acceptsNewWork()
                && (route.isOwnZone() || !classes.get(table.classNumber()).staysInZone())
                && table.group().contains(route.replica());
    }

    /** Whether a route may be given more than the floor: allowed, and its replica not ejected. */
    boolean isOpen(Route route) {
        Replica replica = route.replica();
        return isAllowed(route)
                && !replica.isEjected()
                && (route.isOwnZone() || !replica.isEjectedForOtherZones());
    }
}
