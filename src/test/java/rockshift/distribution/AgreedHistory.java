package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The complete history of agreed states in a simulation: the reference that every observed state is
 * compared with.
 */
final class AgreedHistory {
    static final long CLUSTER = 0xc1;

    /**
     * One agreed revision: its time, its updates, the items they replaced, and the resulting state.
     */
    record Entry(
            long at, List<Update> updates, List<Item> replaced, SortedMap<String, Item> state) {}

    private final List<Entry> entries = new ArrayList<>();

    AgreedHistory() {
        entries.add(new Entry(0, List.of(), List.of(), new TreeMap<>()));
    }

    long latest() {
        return entries.size() - 1;
    }

    Entry entry(long number) {
        return entries.get((int) number);
    }

    static Revision revision(long number) {
        return new Revision(CLUSTER, number);
    }

    /** Commits a revision that puts these items and returns its number. */
    long put(long now, Item... items) {
        List<Update> updates = new ArrayList<>();
        for (Item item : items) {
            updates.add(Update.put(latest() + 1, item));
        }
        return commit(now, updates);
    }

    /** Commits a revision that deletes an item and returns its number. */
    long delete(long now, String key) {
        Item item = entry(latest()).state().getOrDefault(key, new Item(key, "", "", new byte[0]));
        return commit(now, List.of(Update.delete(latest() + 1, item)));
    }

    private long commit(long now, List<Update> updates) {
        TreeMap<String, Item> state = new TreeMap<>(entry(latest()).state());
        List<Item> replaced = new ArrayList<>();
        for (Update update : updates) {
            Item before =
                    update.deleted()
                            ? state.remove(update.item().key())
                            : state.put(update.item().key(), update.item());
            if (before != null) {
                replaced.add(before);
            }
        }
        entries.add(new Entry(now, updates, replaced, state));
        return latest();
    }

    /** Returns the state of a scope at a revision. */
    Map<String, Item> scoped(long number, Scope scope) {
        Map<String, Item> scoped = new TreeMap<>();
        for (Item item : entry(number).state().values()) {
            if (scope.matches(item)) {
                scoped.put(item.key(), item);
            }
        }
        return scoped;
    }

    /**
     * Returns the first revision after one and up to another that changed something in a scope; -1
     * if there is none.
     */
    long firstChange(long after, long upTo, Scope scope) {
        for (long number = after + 1; number <= upTo; number++) {
            Entry entry = entry(number);
            if (entry.updates().stream()
                            .anyMatch(update -> !update.deleted() && scope.matches(update))
                    || entry.replaced().stream().anyMatch(scope::matches)) {
                return number;
            }
        }
        return -1;
    }
}
