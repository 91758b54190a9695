package rockshift.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.distribution.Item;

/**
 * Converts the agreed state to distribution items and back. The value of an item is the JSON form
 * of the change that set it. It depends only on the agreed state, so it is the same on every
 * member, whether the change came from the log or from a snapshot.
 */
public final class AgreedItems {
    private static final String DRAIN_PREFIX = "out/";
    private static final String SETTING_PREFIX = "term/";
    private static final String BUDGET_PREFIX = "budget/";

    private AgreedItems() {}

    /** Returns the key of the item that a change sets or deletes. */
    static String key(Change change) {
        return switch (change.kind()) {
            case DRAIN, HOLD, BACK -> DRAIN_PREFIX + change.subject();
            case TERM -> SETTING_PREFIX + change.subject();
            case BUDGET -> BUDGET_PREFIX + change.subject();
        };
    }

    /** Returns the item that a change sets. */
    static Item item(Change change) {
        Change canonical =
                change.isScoped()
                        ? change
                        : new Change(change.kind(), change.subject(), 0, change.value(), "");
        return new Item(key(change), canonical.service(), canonical.zone(), canonical.json());
    }

    /** Returns the items of the whole agreed state. */
    static List<Item> all(AgreedState agreed) {
        List<Item> items = new ArrayList<>();
        agreed.drains().values().forEach(change -> items.add(item(change)));
        agreed.overrides()
                .forEach(
                        (name, value) ->
                                items.add(item(new Change(Change.Kind.TERM, name, 0, value, ""))));
        agreed.budgets()
                .forEach(
                        (name, value) ->
                                items.add(
                                        item(new Change(Change.Kind.BUDGET, name, 0, value, ""))));
        return items;
    }

    /**
     * Returns the change that an item holds.
     *
     * @throws IOException if the value is not a valid change, or does not match the item's key
     */
    public static Change change(Item item) throws IOException {
        Change change = Change.read(item.value());
        if (!key(change).equals(item.key()) || change.kind() == Change.Kind.BACK) {
            throw new Change.MalformedChangeException(
                    "change", "does not match the item key " + item.key());
        }
        return change;
    }
}
