package rockshift.planner;

import rockshift.model.Endpoint;

/** Endpoints in two zones: replicas with odd numbers in the east, the others in the west. */
final class TestEndpoints {
    private TestEndpoints() {}

    static String zoneOf(long replica) {
        return replica % 2 == 1 ? "east" : "west";
    }

    /** A ready replica that started long ago. */
    static Endpoint ready(long replica) {
        return startedAt(replica, 0);
    }

    /** A ready replica in a given zone, whatever its number. */
    static Endpoint readyIn(String zone, long replica) {
        return new Endpoint(replica, zone, "plain", Endpoint.Health.READY, 0);
    }

    static Endpoint startedAt(long replica, long startedAtTicks) {
        return endpoint(replica, Endpoint.Health.READY, startedAtTicks);
    }

    static Endpoint draining(long replica) {
        return endpoint(replica, Endpoint.Health.DRAINING, 0);
    }

    static Endpoint gone(long replica) {
        return endpoint(replica, Endpoint.Health.GONE, 0);
    }

    private static Endpoint endpoint(long replica, Endpoint.Health health, long startedAtTicks) {
        return new Endpoint(replica, zoneOf(replica), "plain", health, startedAtTicks);
    }
}
