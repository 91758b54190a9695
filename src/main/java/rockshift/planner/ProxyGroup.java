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
     * @param provisionalClass the class whose table can do for all classes
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

    /** The table that does for all classes while a proxy waits for its own tables. */
    RoutingTable provisionalTable() {
        return provisionalTable;
    }

    // ---- subset --------------------------------------------------------------------------------

    boolean isInZoneOf(Replica replica) {
        return zone.equals(replica.zone());
    }

    /** Whether it could take a replica, from its own zone or from the others. */
    boolean canAdd(Replica replica, boolean fromOwnZone) {
        return isInZoneOf(replica) == fromOwnZone && !contains(replica);
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
        replica.joinedGroup(isInZoneOf(replica));
    }

    void remove(Replica replica) {
        if (subset.remove(replica.id()) != null) {
            replica.leftGroup(isInZoneOf(replica));
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

    /** Entries that a proxy is sent beside the message overhead as it is bound to these tables. */
    double bindingCost(boolean provisional) {
        if (!published || entryCount == 0) {
            return Proxy.NOT_BINDABLE;
        }
        return provisional
                ? provisionalTable.entryCount() + ENTRIES_PER_BINDING
                : entryCount + ENTRIES_PER_BINDING * tables.size();
    }

    /**
     * Ends a batch. A group without proxies keeps no entries, as no batch would take out of its
     * tables who leaves; they are published anew for the next proxy.
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
