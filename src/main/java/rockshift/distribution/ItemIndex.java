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
 * The items of a store by key, service and zone, so that reading a scope costs what it holds. Keeps
 * the digest of the whole. Owned by the store's thread.
 */
final class ItemIndex {
    /** An item with its digest, so that it is computed once. */
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

    /** The items of a scope, by key. */
    List<Item> items(Scope scope) {
        List<Item> found = new ArrayList<>();
        visit(scope, each -> found.add(each.item()));
        found.sort(Comparator.comparing(Item::key));
        return found;
    }

    /** The digest of the items of a scope. */
    long digest(Scope scope) {
        if (scope.everything()) {
            return digest;
        }
        long[] sum = new long[1];
        visit(scope, each -> sum[0] += each.digest());
        return sum[0];
    }

    /** The updates that lead to another whole state: deletions first, each kind in key order. */
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

    /** Applies an update; returns it with what it replaced. */
    ItemChange apply(Update update) {
        Item item = update.item();
        DigestedItem before = remove(item.key());
        if (update.deleted()) {
            Item gone = before == null ? item.withoutValue() : before.item().withoutValue();
            return change(Update.delete(update.revision(), gone), before, 0);
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
        // Items that name no service or no zone concern every one.
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
