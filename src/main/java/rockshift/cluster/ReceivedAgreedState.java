package rockshift.cluster;

import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.Item;
import rockshift.distribution.Update;

/**
 * The agreed state as a subscriber receives it: items that are decoded to changes. An item that a
 * later version has written, and that cannot be decoded, is ignored. Not thread-safe.
 */
public final class ReceivedAgreedState {
    private static final Logger LOG = LoggerFactory.getLogger(ReceivedAgreedState.class);

    private final Map<String, Change> changesByKey = new HashMap<>();

    /** Replaces the whole state. */
    public void replace(Collection<Item> items) {
        changesByKey.clear();
        items.forEach(this::put);
    }

    /** Applies updates. */
    public void apply(List<Update> updates) {
        for (Update update : updates) {
            if (update.deleted()) {
                changesByKey.remove(update.item().key());
            } else {
                put(update.item());
            }
        }
    }

    private void put(Item item) {
        try {
            changesByKey.put(item.key(), AgreedItems.change(item));
        } catch (IOException unreadable) {
            LOG.warn("item ignored key={} reason=\"{}\"", item.key(), unreadable.getMessage());
            changesByKey.remove(item.key());
        }
    }

    /** Returns a copy of the drains and holds in force, by replica name. */
    public Map<String, Change> drains() {
        Map<String, Change> drains = new TreeMap<>();
        for (Change change : changesByKey.values()) {
            if (change.isScoped()) {
                drains.put(change.subject(), change);
            }
        }
        return drains;
    }

    /** Returns a copy of the overridden settings, by name. */
    public Map<String, Double> overrides() {
        Map<String, Double> overrides = new TreeMap<>();
        for (Change change : changesByKey.values()) {
            if (change.kind() == Change.Kind.TERM) {
                overrides.put(change.subject(), change.value());
            }
        }
        return overrides;
    }
}
