package rockshift.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The most recent changes of a store, limited in number and bytes. The oldest are dropped first,
 * and the revisions before them can then no longer be resumed from. Confined to the store's thread.
 */
final class UpdateHistory {
    /**
     * The changes that led the store from one revision to a later one.
     *
     * @param complete whether all items that changed between the two revisions are listed, also
     *     those whose final value equals the initial one; otherwise a revision strictly in between
     *     cannot be resumed from
     */
    record Segment(long from, long to, boolean complete, List<ItemChange> changes) {
        private long bytes() {
            return changes.stream().mapToLong(change -> change.update().item().bytes()).sum();
        }
    }

    /** The net change of one item over several segments. */
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

    /** Drops all segments; the given revision becomes the oldest that can be resumed from. */
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
     * Returns all changes after a revision that the store was at; empty if some of them have been
     * dropped.
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
     * Returns the net changes in a scope after a revision; empty if only a snapshot can cover them.
     * A subscriber that comes from another server may be at a revision inside a segment. Its exact
     * state is then unknown, so items outside its scope are deleted in case it holds them.
     */
    Optional<ScopeDelta> since(long number, Scope scope) {
        if (number < compactedThrough) {
            return Optional.empty();
        }
        Map<String, NetChange> netChanges = new LinkedHashMap<>();
        for (Segment segment : segments.tailMap(number, false).values()) {
            boolean insideSegment = segment.from() < number;
            if (insideSegment && !segment.complete()) {
                return Optional.empty();
            }
            for (ItemChange change : segment.changes()) {
                if (change.update().revision() > number) {
                    add(netChanges, change, scope, insideSegment);
                }
            }
        }
        return Optional.of(sum(netChanges, scope));
    }

    private static void add(
            Map<String, NetChange> netChanges,
            ItemChange change,
            Scope scope,
            boolean insideSegment) {
        NetChange net = netChanges.get(change.update().item().key());
        boolean matched = change.matchedBefore(scope);
        if (net == null) {
            net = new NetChange();
            net.digestBefore = matched ? change.digestBefore() : 0;
            netChanges.put(change.update().item().key(), net);
        }
        net.mayBePresent |= matched || insideSegment;
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
