package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The state at one revision, with a bounded history of the updates that led to it. Deletions live
 * on in the history only. Not thread-safe: its owner changes it and then tells the {@link
 * Publisher}.
 */
public final class ConfigurationStore {
    private final Limits.Sizes sizes;
    private final ItemIndex items = new ItemIndex();
    private final UpdateHistory history;
    private Revision current = Revision.NONE;
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

    /** How many items it holds. */
    public int size() {
        return items.size();
    }

    /**
     * Takes a whole state. Of the same cluster it must not be older; its differences to the state
     * before go into the history.
     */
    public void reset(Revision revision, Collection<Item> whole) throws RejectionException {
        boolean continues = !current.isNone() && current.sameCluster(revision);
        if (continues && revision.number() < current.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "revision: " + revision + " is older than " + current);
        }
        List<Update> updates = items.updatesTo(revision.number(), validated(whole));
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
        validate(revision, updates);
        if (!updates.isEmpty()) {
            record(revision, updates, true);
        }
        current = revision;
    }

    /**
     * What changed in a scope since a revision, one update an item; empty if only a snapshot can
     * tell.
     */
    public Optional<List<Update>> differenceSince(Revision revision, Scope scope) {
        return deltaSince(revision, scope).map(ScopeDelta::updates);
    }

    /** The items of a scope, by key. */
    public List<Item> snapshot(Scope scope) {
        return items.items(scope);
    }

    /** The digest of the items of a scope. */
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

    /** All changes since a revision; empty if the history does not reach back. */
    Optional<List<ItemChange>> changesSince(long number) {
        return history.changesSince(number);
    }

    /** Grows each time that the state was replaced without a history that leads there. */
    long generation() {
        return generation;
    }

    /**
     * The first service or zone that a scope names and no item does, as {@code services 'name'};
     * null if there is none.
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

    private Map<String, Item> validated(Collection<Item> whole) throws RejectionException {
        if (whole.size() > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "items: " + whole.size() + " of " + sizes.maxStateItems());
        }
        Map<String, Item> byKey = new LinkedHashMap<>();
        for (Item item : whole) {
            sizes.check(item, "items[" + byKey.size() + "]");
            if (byKey.put(item.key(), item) != null) {
                throw new RejectionException(
                        RejectionReason.MALFORMED, "items: '" + item.key() + "' comes twice");
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
