package rockshift.distribution;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The set of items that a subscriber subscribes to. An item is in the scope if both its service and
 * its zone match. An empty set of services or zones does not restrict the scope, and an item
 * without a service or zone matches every service or zone.
 *
 * @param everything whether every item matches, whatever the services and zones
 * @param services the services to match
 * @param zones the zones to match
 */
public record Scope(boolean everything, SortedSet<String> services, SortedSet<String> zones) {
    private static final Scope EVERYTHING = new Scope(true, new TreeSet<>(), new TreeSet<>());

    /** Copies the sets, so that the scope is immutable. */
    public Scope {
        services = Collections.unmodifiableSortedSet(new TreeSet<>(services));
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
    }

    /** Returns the scope that matches every item. */
    public static Scope all() {
        return EVERYTHING;
    }

    /**
     * Returns the scope of these services in these zones; an empty collection does not restrict it.
     */
    public static Scope of(Collection<String> services, Collection<String> zones) {
        return new Scope(false, new TreeSet<>(services), new TreeSet<>(zones));
    }

    /** Returns whether the scope names no service and no zone; publishers reject such a scope. */
    public boolean isEmpty() {
        return !everything && services.isEmpty() && zones.isEmpty();
    }

    /** Returns whether the item is in the scope. */
    public boolean matches(Item item) {
        return matches(item.service(), item.zone());
    }

    /** Returns whether the updated item is in the scope. */
    public boolean matches(Update update) {
        return matches(update.item());
    }

    /** Returns whether an item of this service and zone is in the scope. */
    public boolean matches(String service, String zone) {
        return everything || matches(services, service) && matches(zones, zone);
    }

    /**
     * Returns the first service or zone of the other scope that this scope does not cover; null if
     * it covers the other scope entirely.
     */
    public String firstUncovered(Scope other) {
        if (everything) {
            return null;
        } else if (other.everything) {
            return "everything";
        }
        String service = firstUncovered("services", services, other.services);
        return service == null ? firstUncovered("zones", zones, other.zones) : service;
    }

    /** Returns whether the scope is restricted to its services. */
    boolean boundByService() {
        return !everything && !services.isEmpty();
    }

    /** Returns whether the scope is restricted to its zones. */
    boolean boundByZone() {
        return !everything && !zones.isEmpty();
    }

    private static boolean matches(SortedSet<String> requested, String name) {
        return requested.isEmpty() || name.isEmpty() || requested.contains(name);
    }

    private static String firstUncovered(
            String field, SortedSet<String> covered, SortedSet<String> requested) {
        if (covered.isEmpty()) {
            return null;
        } else if (requested.isEmpty()) {
            return "all " + field;
        }
        for (String name : requested) {
            if (!covered.contains(name)) {
                return field + " '" + name + "'";
            }
        }
        return null;
    }
}
