package rockshift.planner;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import rockshift.model.Endpoint;
import rockshift.model.Ticks;

/**
 * Replicas listed by discovery, including those that have been gone for less than a minute. Logs
 * each change as {@code endpoint replica=... health=...}.
 */
final class ReplicaRegistry {
    /** Time for which a gone replica is kept, as proxies may join with old tables. */
    private static final long GONE_RETENTION_TICKS = 60 * Ticks.TICKS_PER_SECOND;

    private final DecisionLog log;
    private final TreeMap<Long, Replica> replicas = new TreeMap<>();
    private long lastDepartureTicks = Long.MIN_VALUE / 2;

    ReplicaRegistry(DecisionLog log) {
        this.log = log;
    }

    /** All replicas in the order of their ids; a live view. */
    Collection<Replica> all() {
        return replicas.values();
    }

    /** Replicas that may get new work, in the order of their ids. */
    List<Replica> acceptingNewWork() {
        return replicas.values().stream().filter(Replica::acceptsNewWork).toList();
    }

    /** Returns the replica with an id, or null. */
    Replica get(long id) {
        return replicas.get(id);
    }

    /** When a replica last stopped taking new work, by discovery or by an operator. */
    long lastDepartureTicks() {
        return lastDepartureTicks;
    }

    void recordDeparture(long now) {
        lastDepartureTicks = now;
    }

    /**
     * Applies endpoints listed by discovery.
     *
     * @param changesOnly whether the list contains only changed endpoints rather than all
     * @return whether a replica changed that has an entry in a published table
     */
    boolean update(long now, List<Endpoint> endpoints, boolean changesOnly) {
        TreeSet<Long> missing = new TreeSet<>(changesOnly ? List.of() : replicas.keySet());
        boolean tablesAffected = false;
        for (Endpoint endpoint : endpoints) {
            missing.remove(endpoint.replicaId());
            Replica replica = replicas.computeIfAbsent(endpoint.replicaId(), Replica::new);
            boolean restarted = endpoint.startedAtTicks() > replica.startedAtTicks();
            replica.updateEndpoint(endpoint);
            tablesAffected |= changeHealth(replica, endpoint.health(), restarted, now);
        }
        for (long id : missing) {
            tablesAffected |= changeHealth(replicas.get(id), Endpoint.Health.GONE, false, now);
        }
        return tablesAffected;
    }

    private boolean changeHealth(
            Replica replica, Endpoint.Health health, boolean restarted, long now) {
        if (health == replica.health() && !restarted) {
            return false;
        }
        replica.changeHealth(health, now);
        if (health != Endpoint.Health.READY) {
            recordDeparture(now);
        }
        log.add(
                "endpoint replica="
                        + replica.id()
                        + " health="
                        + health
                        + (restarted ? " started=true" : ""));
        return replica.isInTables();
    }

    /** Discards replicas that left long ago and are in no table, here and at the host. */
    void forgetGone(ProxyCommands commands, long now) {
        for (Replica replica : List.copyOf(replicas.values())) {
            if (replica.health() == Endpoint.Health.GONE
                    && !replica.isInTables()
                    && now > replica.changedAtTicks() + GONE_RETENTION_TICKS) {
                replicas.remove(replica.id());
                commands.forgetReplica(replica.id());
            }
        }
    }
}
