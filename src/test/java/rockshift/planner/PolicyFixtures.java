package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import rockshift.model.Endpoint;
import rockshift.settings.ClassSettings;

/** Replicas, classes and tables for tests of single policies. */
final class PolicyFixtures {
    static final long NOW = 1_000_000;

    private PolicyFixtures() {}

    static Endpoint endpoint(long id, String zone, Endpoint.Health health, long startedAtTicks) {
        return new Endpoint(id, zone, "plain", health, startedAtTicks);
    }

    /** Started and ready replicas 1 to count, odd ones in the east, even ones in the west. */
    static ReplicaRegistry registry(int count) {
        ReplicaRegistry registry = new ReplicaRegistry(new DecisionLog());
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= count; id++) {
            endpoints.add(endpoint(id, id % 2 == 1 ? "east" : "west", Endpoint.Health.READY, 0));
        }
        registry.update(NOW, endpoints, false);
        return registry;
    }

    static List<Replica> replicas(ReplicaRegistry registry) {
        return List.copyOf(registry.all());
    }

    /** One class per flag, which says whether the class is restricted to its own zone. */
    static List<ClassSettings> classes(boolean... restrictedToOwnZone) {
        List<ClassSettings> classes = new ArrayList<>();
        for (boolean restricted : restrictedToOwnZone) {
            classes.add(
                    ClassSettings.named("class-" + classes.size())
                            .restrictedToOwnZone(restricted)
                            .build());
        }
        return classes;
    }

    /** A group in the east with one table per class, and these replicas as its subset. */
    static ProxyGroup groupInEast(int classCount, List<Replica> replicas) {
        ProxyGroup group = new ProxyGroup(0, "east", classCount, 0);
        replicas.forEach(group::add);
        group.tables().forEach(table -> replicas.forEach(table::addRouteIfAbsent));
        return group;
    }
}
