package rockshift.planner;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rockshift.settings.ClassSettings;

/**
 * Drains replicas that operators agreed to take out of service.
 *
 * <p>Inputs: the agreed drains, each with the last start time in ticks that it applies to, so that
 * a drain ends with the process that it was meant for.
 *
 * <p>Guards against an operator who drains the last replica that could respond: proxies would have
 * none. In that case a replica keeps its entries although a drain is agreed. The guard holds
 * because a drain is only applied while another replica accepts new work; if a class must stay in
 * its zone, another replica in the same zone.
 */
final class OperatorDrains {
    private final boolean oneReplicaPerZone;

    /** By replica, the last start time in ticks that a drain applies to. */
    private final TreeMap<Long, Long> agreed = new TreeMap<>();

    OperatorDrains(List<ClassSettings> classes) {
        oneReplicaPerZone = classes.stream().anyMatch(ClassSettings::restrictedToOwnZone);
    }

    /** Replaces the agreed drains. */
    void replace(Map<Long, Long> lastStartByReplica) {
        agreed.clear();
        agreed.putAll(lastStartByReplica);
    }

    /**
     * Marks the replicas that are drained now. If any drain is agreed, each call records a
     * departure.
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
