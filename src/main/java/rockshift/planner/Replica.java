package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import rockshift.model.Endpoint;

/** What is known of a replica: the one link of all paths that lead to it. */
final class Replica {
    final long id;
    String zone = "";
    String kind;
    Endpoint.Health health = Endpoint.Health.READY;
    long started;
    long changed;

    /** Whether staff asked that it take nothing new, and the fleet can spare it. */
    boolean keptOut;

    /** Whether a proxy was told to keep off whatever its tables say. */
    boolean withdrawn;

    // Evidence, faded: for the capacity, then for the health.
    double answered;
    double busySum;
    double busyTries;
    final ReplicaObservations near = new ReplicaObservations();
    final ReplicaObservations far = new ReplicaObservations();
    double capacity;
    double oldCapacity;

    /**
     * All paths here, and those of requests in use; how many places of its zone and of others hold
     * it.
     */
    final List<Route> paths = new ArrayList<>();

    final List<Route> used = new ArrayList<>();
    int heldNear;
    int heldFar;

    Replica(long id) {
        this.id = id;
    }

    /** Listed as fit for new work, and not kept out by staff. */
    boolean usable() {
        return health == Endpoint.Health.READY && !keptOut;
    }

    boolean inTables() {
        return paths.stream().anyMatch(path -> path.published > 0);
    }

    ReplicaObservations view(String from) {
        return from.equals(zone) ? near : far;
    }

    double lost() {
        return near.lost + far.lost;
    }

    ReplicaObservations seen() {
        ReplicaObservations all = new ReplicaObservations();
        all.add(near.tries + far.tries, lost(), far.late, near.busy + far.busy);
        return all;
    }

    void heard(String from, int count, int failed, int late, Double load) {
        view(from)
                .add(count, failed, from.equals(zone) ? 0 : late, load == null ? 0 : count * load);
        answered += Math.max(0, count - failed);
        busySum += load == null ? 0 : count * load;
        busyTries += load == null ? 0 : count;
    }

    void forget() {
        answered = busySum = busyTries = 0;
        near.forget();
        far.forget();
    }

    void fade(double capacityKept, double healthKept) {
        answered *= capacityKept;
        busySum *= capacityKept;
        busyTries *= capacityKept;
        near.fade(healthKept);
        far.fade(healthKept);
    }
}
