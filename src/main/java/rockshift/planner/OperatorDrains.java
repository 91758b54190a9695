package rockshift.planner;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rockshift.settings.ClassSettings;

/**
 * Drains replicas that operators agreed to take out of service.
 *
 * <p>Inputs: the agreed drains, each with the last start that it applies to in ticks, so that a
 * drain ends with the process that it meant.
 *
 * <p>Guards against an operator who drains the last replica that could answer: proxies would have
 * none. Shows as a replica that keeps its entries though a drain is agreed. Holds because a drain
 * is only applied while another replica accepts new work; in each zone, where a class must stay in
 * its zone.
 */
final class OperatorDrains {
    private final boolean oneReplicaPerZone;

    /** By replica, the last start that a drain applies to. */
    private final TreeMap<Long, Long> agreed = new TreeMap<>();

    OperatorDrains(List<ClassSettings> classes) {
        oneReplicaPerZone = classes.stream().anyMatch(ClassSettings::staysInZone);
    }

    /** Replaces the agreed drains. */
    void replace(Map<Long, Long> lastStartByReplica) {
        agreed.clear();
        agreed.putAll(lastStartByReplica);
    }

    /**
     * Marks which replicas are drained now. With any agreed drain, each call records a departure.
     */
    void applyOperatorDrains(ReplicaRegistry replicas, long now) {
        for (Replica replica : replicas.all()) {
            replica.setDrainedByOperator(isAgreed(replica));
        }
        if (!agreed.isEmpty()) {
            replicas.recordDeparture(now);
        }
        List<Replica> remaining = replicas.acceptingNewWork();
        for (Replica replica : replicas.all()) {
            replica.setDrainedByOperator(
                    replica.isDrainedByOperator() && canSpare(replica, remaining));
        }
    }

    private boolean isAgreed(Replica replica) {
        return replica.startedAtTicks() <= agreed.getOrDefault(replica.id(), Long.MIN_VALUE);
    }

    private boolean canSpare(Replica replica, List<Replica> remaining) {
        return remaining.stream()
                .anyMatch(other -> !oneReplicaPerZone || other.zone().equals(replica.zone()));
    }
}
