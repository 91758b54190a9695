package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Proxies of one zone that share routing tables, and the subset of replicas in these tables. Where
 * tables of the whole fleet fit, a zone has one group and the subset is the fleet.
 */
final class ProxyGroup {
    /**
     * Entries that the binding to a table takes beside those of the table: itself and the level.
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
     * A group without replicas.
     *
     * @param provisionalClass the class whose table can serve all classes
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

    /** One table a class, in the order of the classes. */
    List<RoutingTable> tables() {
        return tables;
    }

    /** The table that serves all classes while a proxy waits for its own tables. */
    RoutingTable provisionalTable() {
        return provisionalTable;
    }

    // ---- subset --------------------------------------------------------------------------------

    boolean isInZoneOf(Replica replica) {
        return zone.equals(replica.zone());
    }

    private ZoneRelation relationTo(Replica replica) {
        return isInZoneOf(replica) ? ZoneRelation.SAME_ZONE : ZoneRelation.OTHER_ZONE;
    }

    /** Whether a replica is of the wanted zones, and not in the subset yet. */
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

    // ---- proxies -------------------------------------------------------------------------------

    void proxyJoined() {
        joinedProxies++;
    }

    void proxyBound() {
        boundProxies++;
    }

    /** A proxy left. Without any, the tables are no longer kept up to date. */
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

    // ---- demand --------------------------------------------------------------------------------

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

    // ---- publication ---------------------------------------------------------------------------

    /** Whether the tables have proxies and are up to the last batch. */
    boolean isPublished() {
        return published;
    }

    /** Whether a proxy can be bound to the tables: they are published and not all empty. */
    boolean isBindable() {
        return published && entryCount != 0;
    }

    /** Entries that a proxy is sent beside the message overhead as it is bound to these tables. */
    int bindingCost() {
        return entryCount + ENTRIES_PER_BINDING * tables.size();
    }

    /** The same for the provisional table. */
    int provisionalBindingCost() {
        return provisionalTable.entryCount() + ENTRIES_PER_BINDING;
    }

    /**
     * Ends a batch. A group without proxies keeps no entries, as no batch would remove replicas
     * that leave from its tables; they are published anew for the next proxy.
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
