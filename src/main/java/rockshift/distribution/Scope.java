package rockshift.distribution;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * What a subscriber asks for. Services and zones both bound it; where one of them is left empty it
 * is not bounded by that. An item that names no service or no zone concerns every one.
 *
 * @param everything asks for all, whatever else is named
 * @param services the services asked for
 * @param zones the zones asked for
 */
public record Scope(boolean everything, SortedSet<String> services, SortedSet<String> zones) {
    private static final Scope EVERYTHING = new Scope(true, new TreeSet<>(), new TreeSet<>());

    /** Copies the names, so that the scope does not change. */
    public Scope {
        services = Collections.unmodifiableSortedSet(new TreeSet<>(services));
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
    }

    /** The scope of every item. */
    public static Scope all() {
        return EVERYTHING;
    }

    /** The items of these services in these zones; an empty list does not bound the scope. */
    public static Scope of(Collection<String> services, Collection<String> zones) {
        return new Scope(false, new TreeSet<>(services), new TreeSet<>(zones));
    }

    /** Whether it asks for nothing at all, which no server takes. */
    public boolean isEmpty() {
        return !everything && services.isEmpty() && zones.isEmpty();
    }

    /** Whether it takes the item. */
    public boolean matches(Item item) {
        return matches(item.service(), item.zone());
    }

    /** Whether it takes the item that was updated. */
    public boolean matches(Update update) {
        return matches(update.item());
    }

    /** Whether it takes what concerns this service in this zone. */
    public boolean matches(String service, String zone) {
        return everything || matches(services, service) && matches(zones, zone);
    }

    /**
     * The first service or zone of the other scope that this one does not include; null if it
     * includes all of it.
     */
    public String missing(Scope other) {
        if (everything) {
            return null;
        } else if (other.everything) {
            return "everything";
        }
        String service = missing("services", services, other.services);
        return service == null ? missing("zones", zones, other.zones) : service;
    }

    /** Whether services bound it. */
    boolean boundByService() {
        return !everything && !services.isEmpty();
    }

    /** Whether zones bound it. */
    boolean boundByZone() {
        return !everything && !zones.isEmpty();
    }

    private static boolean matches(SortedSet<String> requested, String name) {
        return requested.isEmpty() || name.isEmpty() || requested.contains(name);
    }

    private static String missing(
            String field, SortedSet<String> present, SortedSet<String> requested) {
        if (present.isEmpty()) {
            return null;
        } else if (requested.isEmpty()) {
            return field + " (every)";
        }
        for (String name : requested) {
            if (!present.contains(name)) {
                return field + " '" + name + "'";
            }
        }
        return null;
    }
}
