package rockshift.server;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import rockshift.model.ClassSet;
import rockshift.settings.ClassNames;

/**
 * Turns table entries and admission levels into parts of an update, with the names that replicas
 * have in discovery. Used by the event loop's thread.
 */
final class UpdatePartEncoder {
    private final ClassNames classNames;

    /** By id, of the replicas that the planner knows. */
    private final Map<Long, String> replicaNames = new HashMap<>();

    UpdatePartEncoder(ClassNames classNames) {
        this.classNames = classNames;
    }

    void putReplicaName(long replica, String name) {
        ReplicaIds.putName(replicaNames, replica, name);
    }

    void forgetReplicaName(long replica) {
        replicaNames.remove(replica);
    }

    boolean knowsReplica(long replica) {
        return replicaNames.containsKey(replica);
    }

    String replicaName(long replica) {
        return replicaNames.get(replica);
    }

    /** Names of replicas, joined by commas. */
    String replicaNames(Set<Long> replicas) {
        StringJoiner list = new StringJoiner(",");
        replicas.forEach(replica -> list.add(replicaNames.get(replica)));
        return list.toString();
    }

    /** A part that says nothing, for a message that has only a trailer. */
    UpdatePart emptyPart() {
        return new UpdatePart.Builder(classNames, ClassSet.all()).build();
    }

    /**
     * The parts that tell proxies bound to a table for some classes of its entries and levels. The
     * first level that holds for all of these classes goes with the entries; each other one that
     * concerns them has a part of its own.
     *
     * @param whole whether the entries are the whole table, which also resets levels
     */
    List<UpdatePart> encode(
            ClassSet classes,
            Map<Long, Double> weights,
            Collection<AdmissionLevel> levels,
            boolean whole) {
        List<UpdatePart> parts = new ArrayList<>();
        AdmissionLevel withEntries = null;
        if (whole || !weights.isEmpty()) {
            UpdatePart.Builder part =
                    new UpdatePart.Builder(classNames, classes)
                            .entries(whole, weights, replicaNames);
            withEntries = firstForAll(classes, levels);
            if (withEntries != null) {
                part.admissionLevel(withEntries.admittedFraction(), withEntries.retryMode());
            }
            parts.add(part.build());
        }
        for (AdmissionLevel level : levels) {
            ClassSet concerned = classes.intersection(level.classes());
            if (level != withEntries && !concerned.isEmpty()) {
                parts.add(
                        new UpdatePart.Builder(classNames, concerned)
                                .admissionLevel(level.admittedFraction(), level.retryMode())
                                .build());
            }
        }
        return parts;
    }

    private static AdmissionLevel firstForAll(ClassSet classes, Collection<AdmissionLevel> levels) {
        for (AdmissionLevel level : levels) {
            if (classes.intersection(level.classes()).equals(classes)) {
                return level;
            }
        }
        return null;
    }
}
