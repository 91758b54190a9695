package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Subscriptions indexed by service and zone, so that the cost of a change depends on the number of
 * subscriptions it may affect. Confined to the publisher's thread.
 */
final class SubscriptionIndex {
    private final Set<Subscription> all = new LinkedHashSet<>();
    private final NameIndex services = new NameIndex();
    private final NameIndex zones = new NameIndex();

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

    /** Visits each subscription whose scope matches this service and zone. */
    void forEachMatching(String service, String zone, Consumer<Subscription> visitor) {
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

    /**
     * Subscriptions indexed by the names that their scopes list for one attribute, service or zone;
     * those whose scopes do not restrict the attribute are kept apart.
     */
    private static final class NameIndex {
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
                Set<Subscription> subscriptions = named.get(name);
                subscriptions.remove(subscription);
                if (subscriptions.isEmpty()) {
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
