package rockshift.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The items of a store, indexed by key, service and zone, so that the cost of reading a scope
 * depends on the size of the scope. Maintains the digest of all items. Confined to the store's
 * thread.
 */
final class ItemIndex {
    /** An item with its cached digest. */
    private record DigestedItem(Item item, long digest) {}

    private final TreeMap<String, DigestedItem> byKey = new TreeMap<>();
    private final Map<String, TreeMap<String, DigestedItem>> byService = new HashMap<>();
    private final Map<String, TreeMap<String, DigestedItem>> byZone = new HashMap<>();
    private long digest;

    int size() {
        return byKey.size();
    }

    boolean containsKey(String key) {
        return byKey.containsKey(key);
    }

    boolean containsService(String service) {
        return byService.containsKey(service);
    }

    boolean containsZone(String zone) {
        return byZone.containsKey(zone);
    }

    /** Returns the items of a scope, sorted by key. */
    List<Item> items(Scope scope) {
        List<Item> found = new ArrayList<>();
        visit(scope, each -> found.add(each.item()));
        found.sort(Comparator.comparing(Item::key));
        return found;
    }

    /** Returns the digest of the items of a scope. */
    long digest(Scope scope) {
        if (scope.everything()) {
            return digest;
        }
        long[] sum = new long[1];
        visit(scope, each -> sum[0] += each.digest());
        return sum[0];
    }

    /**
     * Returns the updates that lead to another whole state: deletions first, then additions and
     * replacements, each in key order.
     */
    List<Update> updatesTo(long revision, Map<String, Item> target) {
        List<Update> updates = new ArrayList<>();
        for (DigestedItem present : byKey.values()) {
            if (!target.containsKey(present.item().key())) {
                updates.add(Update.delete(revision, present.item()));
            }
        }
        for (Item item : target.values()) {
            DigestedItem present = byKey.get(item.key());
            if (present == null || !present.item().equals(item)) {
                updates.add(Update.put(revision, item));
            }
        }
        return updates;
    }

    /** Applies an update and returns it with the item that it replaced. */
    ItemChange apply(Update update) {
        Item item = update.item();
        DigestedItem before = remove(item.key());
        if (update.deleted()) {
            Item deleted = before == null ? item.withoutValue() : before.item().withoutValue();
            return change(Update.delete(update.revision(), deleted), before, 0);
        }
        DigestedItem after = new DigestedItem(item, item.digest());
        byKey.put(item.key(), after);
        byService.computeIfAbsent(item.service(), any -> new TreeMap<>()).put(item.key(), after);
        byZone.computeIfAbsent(item.zone(), any -> new TreeMap<>()).put(item.key(), after);
        digest += after.digest();
        return change(update, before, after.digest());
    }

    private DigestedItem remove(String key) {
        DigestedItem removed = byKey.remove(key);
        if (removed != null) {
            remove(byService, removed.item().service(), key);
            remove(byZone, removed.item().zone(), key);
            digest -= removed.digest();
        }
        return removed;
    }

    private static void remove(
            Map<String, TreeMap<String, DigestedItem>> index, String name, String key) {
        TreeMap<String, DigestedItem> named = index.get(name);
        named.remove(key);
        if (named.isEmpty()) {
            index.remove(name);
        }
    }

    private static ItemChange change(Update update, DigestedItem before, long digestAfter) {
        return before == null
                ? new ItemChange(update, null, null, 0, digestAfter)
                : new ItemChange(
                        update,
                        before.item().service(),
                        before.item().zone(),
                        before.digest(),
                        digestAfter);
    }

    private void visit(Scope scope, Consumer<DigestedItem> visitor) {
        if (scope.boundByService()) {
            visit(byService, scope.services(), scope, visitor);
        } else if (scope.boundByZone()) {
            visit(byZone, scope.zones(), scope, visitor);
        } else {
            byKey.values().forEach(visitor);
        }
    }

    private static void visit(
            Map<String, TreeMap<String, DigestedItem>> index,
            Collection<String> names,
            Scope scope,
            Consumer<DigestedItem> visitor) {
        Set<String> visited = new HashSet<>(names);
        // Items without a service or zone match every one.
        visited.add("");
        for (String name : visited) {
            for (DigestedItem each : index.getOrDefault(name, new TreeMap<>()).values()) {
                if (scope.matches(each.item())) {
                    visitor.accept(each);
                }
            }
        }
    }
}
