package rockshift.planner;

import java.util.ArrayList;
import java.util.List;

/**
 * What a controller can know about the tables that a proxy brought along: the replicas that they
 * may have had entries for when it joined. Each of its tables has at least as many entries as this
 * controller's table for the same class, so it still has one while fewer replicas have departed.
 */
final class KeptTables {
    /** A replica as it was when the proxy joined. */
    private record Candidate(Replica replica, long startedAtTicks) {
        /** A replica that has restarted counts as departed: the proxy was told to avoid it. */
        boolean hasDeparted() {
            return !replica.acceptsNewWork() || replica.startedAtTicks() > startedAtTicks;
        }
    }

    /** The replicas that a table may have entries for, and how many it has at least. */
    private record KeptTable(List<Candidate> candidates, long entries) {
        boolean mayBeEmpty() {
            return candidates.stream().filter(Candidate::hasDeparted).count() >= entries;
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
