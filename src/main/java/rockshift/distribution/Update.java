package rockshift.distribution;

import java.util.Objects;

/**
 * What an item became at a revision. It is absolute: applying it twice, or skipping one in between,
 * does no harm.
 *
 * @param revision the number of the revision that last changed the item
 * @param item the item as of then; of a deletion only its name and whom it concerned
 * @param deleted whether it is gone
 */
public record Update(long revision, Item item, boolean deleted) {
    public Update {
        Objects.requireNonNull(item);
    }

    public static Update put(long revision, Item item) {
        return new Update(revision, item, false);
    }

    public static Update delete(long revision, Item item) {
        return new Update(revision, item.withoutValue(), true);
    }
}
