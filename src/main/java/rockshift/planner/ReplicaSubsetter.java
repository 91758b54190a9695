package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import rockshift.model.Ticks;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/**
 * Splits the proxies of each zone into groups, and assigns to each group the subset of replicas
 * that its tables have entries for.
 *
 * <p>Inputs: the channel's limit in entries, the number of proxies, and the usual rate of the
 * proxies in transactions per second. If tables of the whole fleet fit, each zone has one group
 * with all replicas.
 *
 * <p>Guards against tables that the channel cannot carry in time, and against entries whose
 * connections close idle between two transactions. The symptom is late drains, and at proxies a new
 * connection for nearly every transaction. The guard holds because a table is no longer than the
 * channel and the idle timeout allow, each replica is in several tables so that load can shift, and
 * a group grows while its demand is near its open capacity. Assignments are kept, and the choice is
 * the same at every controller and after a restart, so that a proxy that changes its controller
 * finds its replicas again.
 */
final class ReplicaSubsetter {
    /** Transactions that an entry should get within the timeout of an idle connection. */
    private static final double TRANSACTIONS_PER_IDLE_TIMEOUT = 3.3;

    /** Number of tables that should contain each replica, so that load can shift. */
    private static final double TABLES_PER_REPLICA = 12;

    private static final double MIN_ENTRIES = 8;

    /** Fraction of a group's subset that comes from its own zone. */
    private static final double OWN_ZONE_FRACTION = 0.75;

    /**
     * Minimum ratio of a group's open capacity to its demand, as a few proxies may have most of the
     * demand.
     */
    private static final double CAPACITY_RESERVE_RATIO = 1.5;

    /**
     * Maximum ratio of the fleet size to the target table length at which tables contain the whole
     * fleet.
     */
    private static final double WHOLE_FLEET_RATIO = 1.5;

    /** Fraction of the entries needed below which a group gets more replicas. */
    private static final double REFILL_FRACTION = 0.75;

    private static final double UNBOUNDED = Double.MAX_VALUE;

    private final PlannerSettings settings;
    private final int classCount;
    private final List<String> zones;
    private final List<ProxyGroup> groups = new ArrayList<>();

    /** Target number of entries per table; {@link #UNBOUNDED} for the whole fleet. */
    private double entriesPerTable;

    private boolean wholeFleet;

    ReplicaSubsetter(PlannerSettings settings, int classCount) {
        this.settings = settings;
        this.classCount = classCount;
        zones = settings.zones();
    }

    /** All groups in the order of their numbers; none until replicas and proxies are known. */
    List<ProxyGroup> groups() {
        return groups;
    }

    /** Whether tables have entries for the whole fleet. */
    boolean coversWholeFleet() {
        return wholeFleet;
    }

    /**
     * Assigns a proxy to its group, if there are groups.
     *
     * @return whether the proxy needs a planning round before it can be bound, as the group's
     *     tables are not up to date
     */
    boolean assignToGroup(Proxy proxy) {
        int groupsPerZone = groups.size() / zones.size();
        if (groupsPerZone == 0) {
            return true;
        }
        if (proxy.group() == null) {
            int index = proxy.zoneIndex() * groupsPerZone + proxy.number() % groupsPerZone;
            proxy.joinGroup(groups.get(index));
        }
        return !proxy.group().isPublished();
    }

    private void createGroups(int acceptingReplicas, Collection<Proxy> proxies) {
        entriesPerTable = Math.max(MIN_ENTRIES, Math.floor(affordableEntries(proxies)));
        wholeFleet = acceptingReplicas <= WHOLE_FLEET_RATIO * entriesPerTable;
        if (wholeFleet) {
            entriesPerTable = UNBOUNDED;
        }
        double tables = TABLES_PER_REPLICA * acceptingReplicas / entriesPerTable;
        int groupsPerZone = (int) Math.max(1, Math.ceil(tables / zones.size()));
        for (String zone : zones) {
            for (int i = 0; i < groupsPerZone; i++) {
                groups.add(new ProxyGroup(groups.size(), zone, classCount, strictestClass()));
            }
        }
    }

    /**
     * Returns the table length at which connections stay open and the channel can carry the tables
     * of all proxies.
     */
    private double affordableEntries(Collection<Proxy> proxies) {
        double meanProxyRatePerSecond =
                proxies.stream()
                                .flatMap(proxy -> proxy.demands().stream())
                                .mapToDouble(ClassDemand::ratePerSecond)
                                .sum()
                        / proxies.size();
        double entriesKeptOpen =
                meanProxyRatePerSecond
                        * settings.idleCloseTicks()
                        / Ticks.TICKS_PER_SECOND
                        / TRANSACTIONS_PER_IDLE_TIMEOUT;
        double allProxies = Math.max(proxies.size(), settings.expectedProxies());
        double queueEntriesPerProxy =
                settings.channelQueueLimitEntries() * settings.controllerCount() / allProxies;
        double entriesCarried =
                (queueEntriesPerProxy - settings.messageOverheadEntries()) / classCount
                        - ProxyGroup.ENTRIES_PER_BINDING;
        return Math.min(entriesKeptOpen, entriesCarried);
    }

    /** Returns the first class that must stay in its zone, or class 0. */
    private int strictestClass() {
        List<ClassSettings> classes = settings.classes();
        for (int k = 0; k < classes.size(); k++) {
            if (classes.get(k).restrictedToOwnZone()) {
                return k;
            }
        }
        return 0;
    }

    /**
     * Updates the subsets of the groups; creates the groups with the first proxies and replicas.
     *
     * @return whether groups were created, as their tables take a further round
     */
    boolean assignSubsets(ReplicaRegistry replicas, ProxyRegistry proxies) {
        List<Replica> accepting = replicas.acceptingNewWork();
        boolean createsGroups =
                groups.isEmpty()
                        && !accepting.isEmpty()
                        && !proxies.all().isEmpty()
                        && classCount > 0;
        if (createsGroups) {
            createGroups(accepting.size(), proxies.all());
            proxies.all().forEach(this::assignToGroup);
        }
        removeNotAccepting(replicas);
        for (ProxyGroup group : groups) {
            refill(group, accepting, proxies.waiting().isEmpty());
        }
        spreadReplicas(accepting);
        groups.forEach(ReplicaSubsetter::addRoutes);
        return createsGroups;
    }

    /** Adds missing routes from a group's tables to the replicas of its subset. */
    private static void addRoutes(ProxyGroup group) {
        for (RoutingTable table : group.tables()) {
            group.subset().forEach(table::addRouteIfAbsent);
        }
    }

    /** Adds each replica that is in too few groups to more of them. */
    private void spreadReplicas(List<Replica> accepting) {
        double groupsPerReplica = groups.size() * entriesPerTable / accepting.size();
        for (Replica replica : accepting) {
            double wantedInOwnZone = Math.max(1, Math.floor(groupsPerReplica * OWN_ZONE_FRACTION));
            spreadReplica(
                    replica,
                    ZoneRelation.SAME_ZONE,
                    wantedInOwnZone - replica.groupCount(ZoneRelation.SAME_ZONE));
            double wantedInOtherZones = Math.floor(groupsPerReplica * (1 - OWN_ZONE_FRACTION));
            spreadReplica(
                    replica,
                    ZoneRelation.OTHER_ZONE,
                    wantedInOtherZones - replica.groupCount(ZoneRelation.OTHER_ZONE));
        }
    }

    private void removeNotAccepting(ReplicaRegistry replicas) {
        for (Replica replica : replicas.all()) {
            if (!replica.acceptsNewWork() && replica.isInGroups()) {
                groups.forEach(group -> group.remove(replica));
            }
        }
    }

    /** Adds replicas to a group that has lost many, or whose demand is near its open capacity. */
    private void refill(ProxyGroup group, List<Replica> accepting, boolean noProxyWaits) {
        double size = group.subsetSize();
        double demand = group.tables().stream().mapToDouble(RoutingTable::demandShare).sum();
        double openCapacity = noProxyWaits ? group.tables().get(0).openCapacity() : 0;
        double forDemand =
                openCapacity > 0 ? size * CAPACITY_RESERVE_RATIO * demand / openCapacity : 0;
        double needed = Math.max(entriesPerTable, forDemand);
        if (size < REFILL_FRACTION * Math.min(needed, accepting.size())) {
            double missing = needed - size;
            fillGroup(
                    group,
                    accepting,
                    ZoneRelation.SAME_ZONE,
                    Math.ceil(missing * OWN_ZONE_FRACTION));
            fillGroup(
                    group,
                    accepting,
                    ZoneRelation.OTHER_ZONE,
                    Math.floor(missing * (1 - OWN_ZONE_FRACTION)));
        }
    }

    /**
     * Adds the replicas that are in the fewest groups, from the group's zone or from the others.
     */
    private static void fillGroup(
            ProxyGroup group, List<Replica> accepting, ZoneRelation relation, double count) {
        accepting.stream()
                .filter(replica -> group.canAdd(replica, relation) && !replica.isEjected())
                .sorted(
                        Comparator.comparingInt((Replica replica) -> replica.groupCount(relation))
                                .thenComparingLong(replica -> tieBreaker(group, replica)))
                .limit((long) Math.max(0, count))
                .forEach(group::add);
    }

    /** Adds a replica to the smallest groups of its zone or of the others. */
    private void spreadReplica(Replica replica, ZoneRelation relation, double count) {
        if (count >= 1) {
            groups.stream()
                    .filter(group -> group.canAdd(replica, relation))
                    .sorted(
                            Comparator.comparingInt(ProxyGroup::subsetSize)
                                    .thenComparingLong(group -> tieBreaker(group, replica)))
                    .limit((long) count)
                    .forEach(group -> group.add(replica));
        }
    }

    /** Returns a pseudo-random sort key that depends only on the group and the replica. */
    private static long tieBreaker(ProxyGroup group, Replica replica) {
        return new SplittableRandom(replica.id() * Short.MAX_VALUE + group.number()).nextLong();
    }
}
