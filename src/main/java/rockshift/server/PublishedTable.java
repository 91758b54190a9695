package rockshift.server;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rockshift.model.ClassSet;

/**
 * One routing table as published: its entries and admission levels, the current turn's changes to
 * them, and the encoded message parts. The parts are cached until the table changes or the turn
 * ends, because hundreds of proxies are sent the same parts. Used only by the event loop's thread.
 */
final class PublishedTable {
    private final TreeMap<Long, Double> weights = new TreeMap<>();
    private final LinkedHashMap<ClassSet, AdmissionLevel> levels = new LinkedHashMap<>();
    private final TreeMap<Long, Double> changedWeights = new TreeMap<>();
    private final LinkedHashMap<ClassSet, AdmissionLevel> changedLevels = new LinkedHashMap<>();

    /** Encoded parts, by the classes for which a proxy is bound to the table. */
    private final Map<ClassSet, List<UpdatePart>> wholeParts = new HashMap<>();

    private final Map<ClassSet, List<UpdatePart>> changeParts = new HashMap<>();

    Set<Long> replicas() {
        return weights.keySet();
    }

    /**
     * Sets a replica's weight; 0 removes it.
     *
     * @return whether the replica is new in the table
     */
    boolean setWeight(long replica, double weight) {
        forgetEncodedParts();
        boolean added = weight > 0 && !weights.containsKey(replica);
        changedWeights.put(replica, weight);
        if (weight > 0) {
            weights.put(replica, weight);
        } else {
            weights.remove(replica);
        }
        return added;
    }

    void setLevel(AdmissionLevel level) {
        forgetEncodedParts();
        levels.put(level.classes(), level);
        changedLevels.put(level.classes(), level);
    }

    /** Returns the parts that contain the whole table. */
    List<UpdatePart> wholeParts(ClassSet classes, UpdatePartEncoder encoder) {
        return wholeParts.computeIfAbsent(
                classes, bound -> encoder.encode(bound, weights, levels.values(), true));
    }

    /** Returns the parts that contain this turn's changes, for a proxy that has the table. */
    List<UpdatePart> changeParts(ClassSet classes, UpdatePartEncoder encoder) {
        return changeParts.computeIfAbsent(
                classes,
                bound -> encoder.encode(bound, changedWeights, changedLevels.values(), false));
    }

    void endTurn() {
        changedWeights.clear();
        changedLevels.clear();
        forgetEncodedParts();
    }

    private void forgetEncodedParts() {
        wholeParts.clear();
        changeParts.clear();
    }
}
