package rockshift.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/**
 * The committed changes of a run in the order of their revisions, with which every controller's
 * state is compared. Not thread-safe.
 */
final class CommittedChanges {
    private final TreeMap<Long, Observation.Committed> byRevision = new TreeMap<>();
    private final Map<Long, Map<String, Update>> statesByRevision = new HashMap<>();

    void add(Observation.Committed change) {
        byRevision.put(change.update().revision(), change);
    }

    int size() {
        return byRevision.size();
    }

    /** The last update of each key up to a revision, including deletions. */
    Map<String, Update> state(long revision) {
        return statesByRevision.computeIfAbsent(
                revision, number -> latestByKey(byRevision.headMap(number, true).values()));
    }

    /** The changes after one revision and up to another; empty if the other is not later. */
    Collection<Observation.Committed> between(long after, long upTo) {
        return byRevision.subMap(after, false, Math.max(after, upTo), true).values();
    }

    /** The last update of each key after one revision and up to another. */
    Map<String, Update> latestBetween(long after, long upTo) {
        return latestByKey(between(after, upTo));
    }

    /** The last revision proposed up to a time, or 0 if there is none. */
    long revisionAt(long atMillis) {
        return byRevision.values().stream()
                .filter(change -> change.atMillis() <= atMillis)
                .mapToLong(change -> change.update().revision())
                .max()
                .orElse(0);
    }

    /** The last revision in a scope that was proposed up to a time, or 0 if there is none. */
    long newestBefore(long atMillis, Scope scope) {
        for (Observation.Committed change : byRevision.descendingMap().values()) {
            if (change.atMillis() <= atMillis && scope.matches(change.update())) {
                return change.update().revision();
            }
        }
        return 0;
    }

    private static Map<String, Update> latestByKey(Collection<Observation.Committed> changes) {
        Map<String, Update> latest = new HashMap<>();
        changes.forEach(change -> latest.put(change.update().item().key(), change.update()));
        return latest;
    }
}
