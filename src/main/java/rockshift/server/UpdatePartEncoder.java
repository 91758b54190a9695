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
 * Encodes table entries and admission levels into parts of an update, with the replicas' names in
 * discovery. Used only by the event loop's thread.
 */
final class UpdatePartEncoder {
    private final ClassNames classNames;

    /** Names of the replicas that the planner knows, by id. */
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

    /** Returns the names of replicas, joined by commas. */
    String replicaNames(Set<Long> replicas) {
        StringJoiner list = new StringJoiner(",");
        replicas.forEach(replica -> list.add(replicaNames.get(replica)));
        return list.toString();
    }

    /** Returns a part without content, for a message that has only a trailer. */
    UpdatePart emptyPart() {
        return new UpdatePart.Builder(classNames, ClassSet.all()).build();
    }

    /**
     * Encodes the entries and levels of a table for proxies that are bound to it for some classes.
     * The first level that applies to all of these classes is in the part with the entries; each
     * other level that applies to any of them has its own part.
     *
     * @param whole whether the entries are the whole table, which also resets the levels
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
