package rockshift.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The last changes of a store, bounded in number and bytes; the oldest go first, and with them what
 * can be resumed from. Owned by the store's thread.
 */
final class UpdateHistory {
    /**
     * What took the store from one revision to a later one.
     *
     * @param complete whether each item that changed on the way is there, also those that ended as
     *     they began; else nobody can resume from a revision inside
     */
    record Segment(long from, long to, boolean complete, List<ItemChange> changes) {
        private long bytes() {
            return changes.stream().mapToLong(change -> change.update().item().bytes()).sum();
        }
    }

    /** What became of one item over several segments. */
    private static final class NetChange {
        private long digestBefore;
        private boolean mayBePresent;
        private ItemChange last;
    }

    private final Limits.Sizes sizes;
    private final NavigableMap<Long, Segment> segments = new TreeMap<>();
    private long compactedThrough;
    private long updates;
    private long bytes;

    UpdateHistory(Limits.Sizes sizes) {
        this.sizes = sizes;
    }

    long compactedThrough() {
        return compactedThrough;
    }

    /** Forgets everything; resuming is possible from this revision on. */
    void clear(long through) {
        segments.clear();
        updates = 0;
        bytes = 0;
        compactedThrough = through;
    }

    void add(Segment segment) {
        segments.put(segment.to(), segment);
        updates += segment.changes().size();
        bytes += segment.bytes();
        while (updates > sizes.maxHistoryUpdates() || bytes > sizes.maxHistoryBytes()) {
            Segment oldest = segments.pollFirstEntry().getValue();
            updates -= oldest.changes().size();
            bytes -= oldest.bytes();
            compactedThrough = oldest.to();
        }
    }

    /**
     * All changes after a revision that the store was at; empty if they are not all there any more.
     */
    Optional<List<ItemChange>> changesSince(long number) {
        if (number < compactedThrough) {
            return Optional.empty();
        }
        List<ItemChange> changes = new ArrayList<>();
        segments.tailMap(number, false)
                .values()
                .forEach(segment -> changes.addAll(segment.changes()));
        return Optional.of(changes);
    }

    /**
     * What changed in a scope after a revision, which may lie inside a segment where a subscriber
     * comes from another server. Then the subscriber's state is not known, and items outside its
     * scope are deleted in case it has them.
     */
    Optional<ScopeDelta> since(long number, Scope scope) {
        if (number < compactedThrough) {
            return Optional.empty();
        }
        Map<String, NetChange> netChanges = new LinkedHashMap<>();
        for (Segment segment : segments.tailMap(number, false).values()) {
            boolean inside = segment.from() < number;
            if (inside && !segment.complete()) {
                return Optional.empty();
            }
            for (ItemChange change : segment.changes()) {
                if (change.update().revision() > number) {
                    add(netChanges, change, scope, inside);
                }
            }
        }
        return Optional.of(sum(netChanges, scope));
    }

    private static void add(
            Map<String, NetChange> netChanges, ItemChange change, Scope scope, boolean inside) {
        NetChange net = netChanges.get(change.update().item().key());
        boolean matched = change.matchedBefore(scope);
        if (net == null) {
            net = new NetChange();
            net.digestBefore = matched ? change.digestBefore() : 0;
            netChanges.put(change.update().item().key(), net);
        }
        net.mayBePresent |= matched || inside;
        net.last = change;
    }

    private static ScopeDelta sum(Map<String, NetChange> netChanges, Scope scope) {
        List<Update> updates = new ArrayList<>();
        long digestChange = 0;
        long bytes = 0;
        for (NetChange net : netChanges.values()) {
            Update last = net.last.update();
            boolean present = !last.deleted() && scope.matches(last);
            digestChange += (present ? net.last.digestAfter() : 0) - net.digestBefore;
            if (present || net.mayBePresent) {
                Update update = present ? last : Update.delete(last.revision(), last.item());
                updates.add(update);
                bytes += update.item().bytes();
            }
        }
        return new ScopeDelta(updates, digestChange, bytes);
    }
}
