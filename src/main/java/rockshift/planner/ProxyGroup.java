package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Proxies of a zone that share tables, and the replicas dealt to them. */
final class ProxyGroup {
    final int number;
    final String zone;
    final TreeMap<Long, Replica> members = new TreeMap<>();
    final List<RoutingTable> requests = new ArrayList<>();

    /** The one whose table does for all classes where it must. */
    final RoutingTable shared;

    /** Transactions a second of a class that its hottest proxy brings. */
    double hottest;

    int joined;
    int bound;

    /** Whether the tables are in use and up to the last batch. */
    boolean laid;

    /** Lines that its tables have together. */
    int filled;

    // While a batch is published: lines so far, and whether a proxy may get no more messages, or
    // none now.
    double sent;
    boolean full;
    boolean barred;

    ProxyGroup(int number, String zone, int classes, int strictest) {
        this.number = number;
        this.zone = zone;
        for (int k = 0; k < classes; k++) {
            requests.add(new RoutingTable(this, k, number * classes + k));
        }
        shared = requests.get(strictest);
    }

    boolean near(Replica replica) {
        return zone.equals(replica.zone);
    }

    /** Whether it could take a replica, from its zone or from the others. */
    boolean lacks(Replica replica, boolean near) {
        return near(replica) == near && !members.containsKey(replica.id);
    }

    void add(Replica replica) {
        members.put(replica.id, replica);
        count(replica, 1);
    }

    void remove(Replica replica) {
        if (members.remove(replica.id) != null) {
            count(replica, -1);
        }
    }

    /**
     * Ends the batch: the tables of a place that has proxies are up to it. Others keep no lines, as
     * no batch would take out who leaves; they are laid anew for who joins.
     */
    void published(ProxyCommands orders) {
        laid = joined > 0;
        filled = 0;
        for (RoutingTable request : requests) {
            request.filled =
                    !laid
                            ? 0
                            : (int)
                                    request.paths.values().stream()
                                            .filter(path -> path.published > 0)
                                            .count();
            request.sent = 0;
            filled += request.filled;
        }
        sent = 0;
        full = barred = false;
        if (!laid) {
            requests.stream()
                    .flatMap(request -> request.paths.values().stream())
                    .filter(path -> path.published > 0)
                    .forEach(
                            path -> {
                                path.published = 0;
                                orders.setTableEntry(path.request.number, path.link.id, 0);
                            });
        }
    }

    /** Begins a new reckoning of demand. */
    void reckon() {
        hottest = 0;
        for (RoutingTable request : requests) {
            request.oldWeight = request.weight;
            request.weight = 0;
        }
    }

    private void count(Replica replica, int one) {
        replica.heldNear += near(replica) ? one : 0;
        replica.heldFar += near(replica) ? 0 : one;
    }
}
