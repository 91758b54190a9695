package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The state at one revision, with a bounded history of the updates that led to it. Deleted items
 * remain only in the history. Not thread-safe: its owner changes it and then notifies the {@link
 * Publisher}.
 */
public final class ConfigurationStore {
    private final Limits.Sizes sizes;
    private final ItemIndex items = new ItemIndex();
    private final UpdateHistory history;
    private Revision current = Revision.NONE;
    private long generation;

    /** Creates an empty store; {@link #reset} sets its first state. */
    public ConfigurationStore(Limits.Sizes sizes) {
        this.sizes = sizes;
        this.history = new UpdateHistory(sizes);
    }

    /** Returns the revision of the state; {@link Revision#NONE} before the first reset. */
    public Revision current() {
        return current;
    }

    /** Returns the oldest revision that can be resumed from. */
    public Revision compactedThrough() {
        return new Revision(current.cluster(), history.compactedThrough());
    }

    /** Returns the number of items. */
    public int size() {
        return items.size();
    }

    /**
     * Replaces the whole state. Within the same cluster the revision must not be older than the
     * current one, and the changes from the previous state are added to the history.
     */
    public void reset(Revision revision, Collection<Item> newItems) throws RejectionException {
        boolean continues = !current.isNone() && current.sameCluster(revision);
        if (continues && revision.number() < current.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "revision: " + revision + " is older than " + current);
        }
        List<Update> updates = items.updatesTo(revision.number(), validatedByKey(newItems));
        if (!continues || revision.number() == current.number() && !updates.isEmpty()) {
            updates.forEach(items::apply);
            history.clear(revision.number());
            generation++;
        } else if (!updates.isEmpty()) {
            record(revision, updates, false);
        }
        current = revision;
    }

    /**
     * Applies all updates of the revisions after the current one up to the given one; the list is
     * empty if nothing in this store changed. Either all updates are applied or none.
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
        validate(revision, updates);
        if (!updates.isEmpty()) {
            record(revision, updates, true);
        }
        current = revision;
    }

    /**
     * Returns the changes in a scope since a revision, one update per item; empty if only a
     * snapshot can cover them.
     */
    public Optional<List<Update>> differenceSince(Revision revision, Scope scope) {
        return deltaSince(revision, scope).map(ScopeDelta::updates);
    }

    /** Returns the items of a scope, sorted by key. */
    public List<Item> snapshot(Scope scope) {
        return items.items(scope);
    }

    /** Returns the digest of the items of a scope. */
    long digest(Scope scope) {
        return items.digest(scope);
    }

    Optional<ScopeDelta> deltaSince(Revision revision, Scope scope) {
        if (current.isNone()
                || !current.sameCluster(revision)
                || revision.number() > current.number()) {
            return Optional.empty();
        }
        return history.since(revision.number(), scope);
    }

    /** Returns all changes since a revision; empty if the history does not reach back to it. */
    Optional<List<ItemChange>> changesSince(long number) {
        return history.changesSince(number);
    }

    /**
     * Returns the generation of the state, which is incremented each time the state is replaced
     * without a history that leads to it.
     */
    long generation() {
        return generation;
    }

    /**
     * Returns the first service or zone that a scope names and no item has, as {@code services
     * 'name'}; null if there is none.
     */
    String firstUnknownName(Scope scope) {
        String service = firstUnknown("services", scope.services(), items::containsService);
        return service == null
                ? firstUnknown("zones", scope.zones(), items::containsZone)
                : service;
    }

    private static String firstUnknown(
            String field, Collection<String> names, Predicate<String> known) {
        return names.stream()
                .filter(known.negate())
                .findFirst()
                .map(name -> field + " '" + name + "'")
                .orElse(null);
    }

    private void record(Revision revision, List<Update> updates, boolean complete) {
        List<ItemChange> changes = updates.stream().map(items::apply).toList();
        history.add(
                new UpdateHistory.Segment(current.number(), revision.number(), complete, changes));
    }

    private Map<String, Item> validatedByKey(Collection<Item> newItems) throws RejectionException {
        if (newItems.size() > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "items: " + newItems.size() + " items, maximum is " + sizes.maxStateItems());
        }
        Map<String, Item> byKey = new LinkedHashMap<>();
        for (Item item : newItems) {
            sizes.check(item, "items[" + byKey.size() + "]");
            if (byKey.put(item.key(), item) != null) {
                throw new RejectionException(
                        RejectionReason.MALFORMED, "items: duplicate key '" + item.key() + "'");
            }
        }
        return byKey;
    }

    private void validate(Revision revision, List<Update> updates) throws RejectionException {
        Map<String, Boolean> present = new HashMap<>();
        int count = items.size();
        for (int index = 0; index < updates.size(); index++) {
            Update update = updates.get(index);
            String field = "updates[" + index + "]";
            update.checkBetween(current.number(), revision.number(), field);
            sizes.check(update.item(), field);
            String key = update.item().key();
            boolean before = present.getOrDefault(key, items.containsKey(key));
            present.put(key, !update.deleted());
            count += (update.deleted() ? 0 : 1) - (before ? 1 : 0);
        }
        sizes.checkStateItems(count);
    }
}
