package rockshift.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rockshift.distribution.Item;

/**
 * What is agreed as items of the distribution, and back. An item's value is the change that it
 * stands for, as JSON. It depends on what is agreed alone, so that it is the same on every member,
 * whether that came by the log or by a snapshot.
 */
public final class AgreedItems {
    private static final String OUT = "out/";
    private static final String TERM = "term/";
    private static final String BUDGET = "budget/";

    private AgreedItems() {}

    /** The key of the item that a change concerns. */
    static String key(Change change) {
        return switch (change.kind()) {
            case DRAIN, HOLD, BACK -> OUT + change.subject();
            case TERM -> TERM + change.subject();
            case BUDGET -> BUDGET + change.subject();
        };
    }

    /** The item of a change that sets something. */
    static Item item(Change change) {
        Change kept =
                change.isScoped()
                        ? change
                        : new Change(change.kind(), change.subject(), 0, change.value(), "");
        return new Item(key(change), kept.service(), kept.zone(), kept.json());
    }

    /** All that is agreed. */
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
     * The change that an item stands for; an error where it is none, or not the one that its key
     * names.
     */
    public static Change change(Item item) throws IOException {
        Change change = Change.read(item.value());
        if (!key(change).equals(item.key()) || change.kind() == Change.Kind.BACK) {
            throw new Change.MalformedChangeException("change", "does not stand for " + item.key());
        }
        return change;
    }
}
