package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Subscriptions by service and zone, so that a change costs those whom it may concern. Owned by the
 * publisher's thread.
 */
final class SubscriptionIndex {
    private final Set<Subscription> all = new LinkedHashSet<>();
    private final Axis services = new Axis();
    private final Axis zones = new Axis();

    void add(Subscription subscription) {
        Scope scope = subscription.scope();
        all.add(subscription);
        services.add(subscription, scope.boundByService(), scope.services());
        zones.add(subscription, scope.boundByZone(), scope.zones());
    }

    void remove(Subscription subscription) {
        Scope scope = subscription.scope();
        all.remove(subscription);
        services.remove(subscription, scope.boundByService(), scope.services());
        zones.remove(subscription, scope.boundByZone(), scope.zones());
    }

    Collection<Subscription> all() {
        return all;
    }

    /** Visits each subscription whose scope takes what concerns this service in this zone. */
    void concerned(String service, String zone, Consumer<Subscription> visitor) {
        for (Collection<Subscription> candidates : candidates(service, zone)) {
            for (Subscription candidate : candidates) {
                if (candidate.scope().matches(service, zone)) {
                    visitor.accept(candidate);
                }
            }
        }
    }

    private List<Collection<Subscription>> candidates(String service, String zone) {
        if (service.isEmpty() && zone.isEmpty()) {
            return List.of(all);
        } else if (service.isEmpty()) {
            return zones.candidates(zone);
        } else if (zone.isEmpty() || services.count(service) <= zones.count(zone)) {
            return services.candidates(service);
        }
        return zones.candidates(zone);
    }

    /** Subscriptions by what they name on one axis, and those that this axis does not bound. */
    private static final class Axis {
        private final Map<String, Set<Subscription>> named = new HashMap<>();
        private final Set<Subscription> unbounded = new LinkedHashSet<>();

        void add(Subscription subscription, boolean bound, Collection<String> names) {
            if (!bound) {
                unbounded.add(subscription);
                return;
            }
            for (String name : names) {
                named.computeIfAbsent(name, any -> new LinkedHashSet<>()).add(subscription);
            }
        }

        void remove(Subscription subscription, boolean bound, Collection<String> names) {
            if (!bound) {
                unbounded.remove(subscription);
                return;
            }
            for (String name : names) {
                Set<Subscription> those = named.get(name);
                those.remove(subscription);
                if (those.isEmpty()) {
                    named.remove(name);
                }
            }
        }

        int count(String name) {
            return named.getOrDefault(name, Set.of()).size() + unbounded.size();
        }

        List<Collection<Subscription>> candidates(String name) {
            return List.of(named.getOrDefault(name, Set.of()), unbounded);
        }
    }
}
