package rockshift.distribution;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** The state at one revision, with a bounded history of the updates that led to it. */
public final class ConfigurationStore {
    public ConfigurationStore(Limits.Sizes sizes) {}

    /** What the state is at; {@link Revision#NONE} before the first reset. */
    public Revision current() {
        throw new UnsupportedOperationException();
    }

    /** Takes a whole state. Of the same cluster it must not be older; its differences to what was held go into the history. */
    public void reset(Revision revision, Collection<Item> items) throws Refusal {
        throw new UnsupportedOperationException();
    }

    /** Takes all updates of the revisions after the current one up to this; none where nothing here changed. All or none is taken. */
    public void apply(Revision revision, List<Update> updates) throws Refusal {
        throw new UnsupportedOperationException();
    }

    /** What changed in a scope since a revision, one update an item; empty if only a snapshot can tell. */
    public Optional<List<Update>> differenceSince(Revision revision, Scope scope) {
        throw new UnsupportedOperationException();
    }

    /** The items of a scope. */
    public List<Item> snapshot(Scope scope) {
        throw new UnsupportedOperationException();
    }

    /** The oldest revision that can be resumed from. */
    public Revision compactedThrough() {
        throw new UnsupportedOperationException();
    }
}
