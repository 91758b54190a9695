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

    public Scope {
        services = Collections.unmodifiableSortedSet(new TreeSet<>(services));
        zones = Collections.unmodifiableSortedSet(new TreeSet<>(zones));
    }

    public static Scope all() {
        return EVERYTHING;
    }

    public static Scope of(Collection<String> services, Collection<String> zones) {
        return new Scope(false, new TreeSet<>(services), new TreeSet<>(zones));
    }

    /** Whether it asks for nothing at all, which no server takes. */
    public boolean isEmpty() {
        return !everything && services.isEmpty() && zones.isEmpty();
    }

    public boolean matches(Item item) {
        return matches(item.service(), item.zone());
    }

    public boolean matches(Update update) {
        return matches(update.item());
    }

    /** Whether it takes what concerns this service in this zone. */
    public boolean matches(String service, String zone) {
        return everything || matches(services, service) && matches(zones, zone);
    }

    /**
     * The first service or zone of the other scope that this one does not hold; null if it holds
     * all of it.
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

    private static boolean matches(SortedSet<String> asked, String name) {
        return asked.isEmpty() || name.isEmpty() || asked.contains(name);
    }

    private static String missing(String field, SortedSet<String> held, SortedSet<String> asked) {
        if (held.isEmpty()) {
            return null;
        } else if (asked.isEmpty()) {
            return field + " (every)";
        }
        for (String name : asked) {
            if (!held.contains(name)) {
                return field + " '" + name + "'";
            }
        }
        return null;
    }
}
