package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Proxies of one zone that share routing tables, and the subset of replicas in these tables. If
 * tables of the whole fleet fit the channel, a zone has one group whose subset is the fleet.
 */
final class ProxyGroup {
    /**
     * Entries that a binding takes in addition to those of the table: the binding itself and the
     * level.
     */
    static final int ENTRIES_PER_BINDING = 2;

    private final int number;
    private final String zone;
    private final TreeMap<Long, Replica> subset = new TreeMap<>();
    private final List<RoutingTable> tables = new ArrayList<>();
    private final RoutingTable provisionalTable;
    private double busiestProxyRatePerSecond;
    private int joinedProxies;
    private int boundProxies;
    private boolean published;
    private int entryCount;

    /**
     * Creates a group without replicas.
     *
     * @param provisionalClass class whose table can serve all classes
     */
    ProxyGroup(int number, String zone, int classCount, int provisionalClass) {
        this.number = number;
        this.zone = zone;
        for (int k = 0; k < classCount; k++) {
            tables.add(new RoutingTable(this, k, number * classCount + k));
        }
        provisionalTable = tables.get(provisionalClass);
    }

    int number() {
        return number;
    }

    /** One table per class, in the order of the classes. */
    List<RoutingTable> tables() {
        return tables;
    }

    /** The table that serves all classes while a proxy waits for its own tables. */
    RoutingTable provisionalTable() {
        return provisionalTable;
    }

    boolean isInZoneOf(Replica replica) {
        return zone.equals(replica.zone());
    }

    private ZoneRelation relationTo(Replica replica) {
        return isInZoneOf(replica) ? ZoneRelation.SAME_ZONE : ZoneRelation.OTHER_ZONE;
    }

    /** Whether a replica has the wanted zone relation and is not in the subset yet. */
    boolean canAdd(Replica replica, ZoneRelation wanted) {
        return relationTo(replica) == wanted && !contains(replica);
    }

    boolean contains(Replica replica) {
        return subset.containsKey(replica.id());
    }

    Collection<Replica> subset() {
        return subset.values();
    }

    int subsetSize() {
        return subset.size();
    }

    void add(Replica replica) {
        subset.put(replica.id(), replica);
        replica.joinedGroup(relationTo(replica));
    }

    void remove(Replica replica) {
        if (subset.remove(replica.id()) != null) {
            replica.leftGroup(relationTo(replica));
        }
    }

    void proxyJoined() {
        joinedProxies++;
    }

    void proxyBound() {
        boundProxies++;
    }

    /** Removes a proxy. Without proxies the tables are no longer kept up to date. */
    void proxyLeft(boolean wasBound) {
        joinedProxies--;
        boundProxies -= wasBound ? 1 : 0;
        published &= joinedProxies > 0;
    }

    boolean hasProxies() {
        return joinedProxies > 0;
    }

    int boundProxies() {
        return boundProxies;
    }

    /** The highest rate of one class at one of its proxies. */
    double busiestProxyRatePerSecond() {
        return busiestProxyRatePerSecond;
    }

    void resetDemand() {
        busiestProxyRatePerSecond = 0;
        tables.forEach(RoutingTable::resetDemand);
    }

    void addDemand(int classNumber, double ratePerSecond) {
        tables.get(classNumber).addDemand(ratePerSecond);
        busiestProxyRatePerSecond = Math.max(busiestProxyRatePerSecond, ratePerSecond);
    }

    /** Whether the group has proxies and its tables are up to date with the last batch. */
    boolean isPublished() {
        return published;
    }

    /** Whether a proxy can be bound to the tables: they are published and not all empty. */
    boolean isBindable() {
        return published && entryCount != 0;
    }

    /**
     * Returns the entries that a proxy is sent, besides the message overhead, when it is bound to
     * these tables.
     */
    int bindingCost() {
        return entryCount + ENTRIES_PER_BINDING * tables.size();
    }

    /**
     * Returns the entries that a proxy is sent, besides the message overhead, when it is bound to
     * the provisional table.
     */
    int provisionalBindingCost() {
        return provisionalTable.entryCount() + ENTRIES_PER_BINDING;
    }

    /**
     * Ends a batch. Clears the tables of a group without proxies, as no batch would remove departed
     * replicas from them; they are published again for the next proxy.
     */
    void endBatch(ProxyCommands commands) {
        published = joinedProxies > 0;
        entryCount = 0;
        for (RoutingTable table : tables) {
            if (published) {
                table.countEntries();
            } else {
                table.clear(commands);
            }
            entryCount += table.entryCount();
        }
    }
}
