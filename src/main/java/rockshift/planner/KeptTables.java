package rockshift.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * What a controller can know about the tables that a proxy brought along: the replicas that they
 * may have had entries for when it joined. Each of its tables has as many entries as this
 * controller's table for the same class, less those of replicas that operators hold, so it still
 * has one while fewer replicas have departed.
 */
final class KeptTables {
    /** Fraction of the entries that may be missing, as operators hold their replicas. */
    private static final double MAX_HELD_FRACTION = 0.25;

    /** A replica as it was when the proxy joined. */
    private record Candidate(Replica replica, long startedAtTicks) {
        /** A replica that has restarted counts as departed: the proxy was told to avoid it. */
        boolean hasDeparted() {
            return !replica.acceptsNewWork() || replica.startedAtTicks() > startedAtTicks;
        }
    }

    /** The replicas that a table may have entries for, and how many it would have here. */
    private record KeptTable(List<Candidate> candidates, long entries) {
        boolean mayBeEmpty() {
            double leastEntries = entries - Math.ceil(MAX_HELD_FRACTION * entries);
            long departed = candidates.stream().filter(Candidate::hasDeparted).count();
            return departed >= Math.max(1, leastEntries);
        }
    }

    private final List<KeptTable> tables = new ArrayList<>();

    /** Records the replicas that proxies of a group may use now. */
    KeptTables(ProxyGroup group, Iterable<Replica> replicas, RouteEligibility eligibility) {
        for (RoutingTable table : group.tables()) {
            List<Candidate> candidates = new ArrayList<>();
            long entries = 0;
            for (Replica replica : replicas) {
                if (eligibility.maySend(table, replica)) {
                    candidates.add(new Candidate(replica, replica.startedAtTicks()));
                    entries += group.contains(replica) ? 1 : 0;
                }
            }
            tables.add(new KeptTable(candidates, entries));
        }
    }

    /** Returns whether all entries of one of the tables may lead to replicas that departed. */
    boolean mayBeEmpty() {
        return tables.stream().anyMatch(KeptTable::mayBeEmpty);
    }
}
