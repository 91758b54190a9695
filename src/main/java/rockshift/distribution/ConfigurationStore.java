package rockshift.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The state at one revision, with a bounded history of the updates that led to it. Deletions live
 * on in the history only. Items are found by service and zone, so that a scope costs what it holds.
 */
public final class ConfigurationStore {
    private final Limits.Sizes sizes;
    private final TreeMap<String, HeldItem> items = new TreeMap<>();
    private final Map<String, TreeMap<String, HeldItem>> byService = new HashMap<>();
    private final Map<String, TreeMap<String, HeldItem>> byZone = new HashMap<>();
    private final UpdateHistory history;
    private Revision current = Revision.NONE;
    private long digest;
    private long generation;

    /** A store that holds nothing; {@link #reset} gives it its first state. */
    public ConfigurationStore(Limits.Sizes sizes) {
        this.sizes = sizes;
        this.history = new UpdateHistory(sizes);
    }

    /** What the state is at; {@link Revision#NONE} before the first reset. */
    public Revision current() {
        return current;
    }

    /** The oldest revision that can be resumed from. */
    public Revision compactedThrough() {
        return new Revision(current.cluster(), history.compactedThrough());
    }

    /** Items held. */
    public int size() {
        return items.size();
    }

    /**
     * Takes a whole state. Of the same cluster it must not be older; its differences to what was
     * held go into the history.
     */
    public void reset(Revision revision, Collection<Item> whole) throws RejectionException {
        boolean continues = !current.isNone() && current.sameCluster(revision);
        if (continues && revision.number() < current.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "revision: " + revision + " is older than " + current);
        }
        Map<String, Item> next = checkedState(whole);
        List<Update> differences = differencesTo(revision.number(), next);
        if (!continues || revision.number() == current.number() && !differences.isEmpty()) {
            differences.forEach(this::put);
            history.clear(revision.number());
            generation++;
        } else if (!differences.isEmpty()) {
            List<Change> changes = differences.stream().map(this::put).toList();
            history.add(
                    new UpdateHistory.Segment(current.number(), revision.number(), false, changes));
        }
        current = revision;
    }

    /**
     * Takes all updates of the revisions after the current one up to this; none where nothing here
     * changed. All or none is taken.
     */
    public void apply(Revision revision, List<Update> updates) throws RejectionException {
        if (current.isNone() || !current.sameCluster(revision)) {
            throw new RejectionException(
                    RejectionReason.OTHER_CLUSTER,
                    "revision: " + revision + " does not follow " + current);
        } else if (revision.number() <= current.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "revision: " + revision + " does not follow " + current);
        }
        check(revision, updates);
        if (!updates.isEmpty()) {
            List<Change> changes = updates.stream().map(this::put).toList();
            history.add(
                    new UpdateHistory.Segment(current.number(), revision.number(), true, changes));
        }
        current = revision;
    }

    /**
     * What changed in a scope since a revision, one update an item; empty if only a snapshot can
     * tell.
     */
    public Optional<List<Update>> differenceSince(Revision revision, Scope scope) {
        return deltaSince(revision, scope).map(Delta::updates);
    }

    /** The items of a scope, by key. */
    public List<Item> snapshot(Scope scope) {
        List<Item> found = new ArrayList<>();
        visit(scope, held -> found.add(held.item()));
        found.sort(Comparator.comparing(Item::key));
        return found;
    }

    /** The digest of the items of a scope. */
    long digest(Scope scope) {
        if (scope.everything()) {
            return digest;
        }
        long[] sum = new long[1];
        visit(scope, held -> sum[0] += held.digest());
        return sum[0];
    }

    Optional<Delta> deltaSince(Revision revision, Scope scope) {
        if (current.isNone()
                || !current.sameCluster(revision)
                || revision.number() > current.number()) {
            return Optional.empty();
        }
        return history.since(revision.number(), scope);
    }

    /** All changes since a revision; empty if the history does not reach back. */
    Optional<List<Change>> changesSince(long number) {
        return history.changesSince(number);
    }

    /** Grows each time that the state was replaced without a history that leads there. */
    long generation() {
        return generation;
    }

    boolean knowsService(String service) {
        return byService.containsKey(service);
    }

    boolean knowsZone(String zone) {
        return byZone.containsKey(zone);
    }

    private Map<String, Item> checkedState(Collection<Item> whole) throws RejectionException {
        if (whole.size() > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "items: " + whole.size() + " of " + sizes.maxStateItems());
        }
        Map<String, Item> next = new LinkedHashMap<>();
        for (Item item : whole) {
            sizes.check(item, "items[" + next.size() + "]");
            if (next.put(item.key(), item) != null) {
                throw new RejectionException(
                        RejectionReason.MALFORMED, "items: '" + item.key() + "' comes twice");
            }
        }
        return next;
    }

    private List<Update> differencesTo(long revision, Map<String, Item> next) {
        List<Update> differences = new ArrayList<>();
        for (HeldItem held : items.values()) {
            if (!next.containsKey(held.item().key())) {
                differences.add(Update.delete(revision, held.item()));
            }
        }
        for (Item item : next.values()) {
            HeldItem held = items.get(item.key());
            if (held == null || !held.item().equals(item)) {
                differences.add(Update.put(revision, item));
            }
        }
        return differences;
    }

    private void check(Revision revision, List<Update> updates) throws RejectionException {
        Map<String, Boolean> present = new HashMap<>();
        int count = items.size();
        for (int index = 0; index < updates.size(); index++) {
            Update update = updates.get(index);
            String place = "updates[" + index + "]";
            if (update.revision() <= current.number() || update.revision() > revision.number()) {
                throw new RejectionException(
                        RejectionReason.OUT_OF_ORDER,
                        place
                                + ".revision: "
                                + update.revision()
                                + " is not after "
                                + current.number()
                                + " up to "
                                + revision.number());
            }
            sizes.check(update.item(), place);
            String key = update.item().key();
            boolean before = present.getOrDefault(key, items.containsKey(key));
            present.put(key, !update.deleted());
            count += (update.deleted() ? 0 : 1) - (before ? 1 : 0);
        }
        if (count > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "updates: more than " + sizes.maxStateItems() + " items");
        }
    }

    private Change put(Update update) {
        Item item = update.item();
        HeldItem before = items.remove(item.key());
        if (before != null) {
            unindex(byService, before.item().service(), item.key());
            unindex(byZone, before.item().zone(), item.key());
            digest -= before.digest();
        }
        if (update.deleted()) {
            Item gone = before == null ? item.withoutValue() : before.item().withoutValue();
            return new Change(Update.delete(update.revision(), gone), before, 0);
        }
        HeldItem after = new HeldItem(item, item.digest());
        items.put(item.key(), after);
        byService.computeIfAbsent(item.service(), any -> new TreeMap<>()).put(item.key(), after);
        byZone.computeIfAbsent(item.zone(), any -> new TreeMap<>()).put(item.key(), after);
        digest += after.digest();
        return new Change(update, before, after.digest());
    }

    private static void unindex(
            Map<String, TreeMap<String, HeldItem>> index, String name, String key) {
        TreeMap<String, HeldItem> named = index.get(name);
        named.remove(key);
        if (named.isEmpty()) {
            index.remove(name);
        }
    }

    private void visit(Scope scope, Consumer<HeldItem> visitor) {
        if (scope.boundByService()) {
            visit(byService, scope.services(), scope, visitor);
        } else if (scope.boundByZone()) {
            visit(byZone, scope.zones(), scope, visitor);
        } else {
            items.values().forEach(visitor);
        }
    }

    private static void visit(
            Map<String, TreeMap<String, HeldItem>> index,
            Collection<String> names,
            Scope scope,
            Consumer<HeldItem> visitor) {
        Set<String> visited = new HashSet<>(names);
        visited.add("");
        for (String name : visited) {
            for (HeldItem held : index.getOrDefault(name, new TreeMap<>()).values()) {
                if (scope.matches(held.item())) {
                    visitor.accept(held);
                }
            }
        }
    }

    /** An item with its digest, so that it is computed once. */
    record HeldItem(Item item, long digest) {}

    /** An update with what it replaced: null if there was nothing. */
    record Change(
            Update update,
            String serviceBefore,
            String zoneBefore,
            long digestBefore,
            long digestAfter) {
        Change(Update update, HeldItem before, long digestAfter) {
            this(
                    update,
                    before == null ? null : before.item().service(),
                    before == null ? null : before.item().zone(),
                    before == null ? 0 : before.digest(),
                    digestAfter);
        }

        boolean matchedBefore(Scope scope) {
            return serviceBefore != null && scope.matches(serviceBefore, zoneBefore);
        }
    }

    /**
     * What changed in a scope.
     *
     * @param updates one an item
     * @param digestChange what the digest of the scope's state grew by, where the start is a
     *     revision that the store itself was at
     * @param bytes about how many the updates take
     */
    record Delta(List<Update> updates, long digestChange, long bytes) {}
}
