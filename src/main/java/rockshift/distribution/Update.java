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
    /** Fails on a null part. */
    public Update {
        Objects.requireNonNull(item);
    }

    /** An item that was added or replaced. */
    public static Update put(long revision, Item item) {
        return new Update(revision, item, false);
    }

    /** An item that is gone; its value is left out. */
    public static Update delete(long revision, Item item) {
        return new Update(revision, item.withoutValue(), true);
    }

    /** Rejects an update that is not of a revision after one and up to another. */
    void checkBetween(long from, long to, String field) throws RejectionException {
        if (revision <= from || revision > to) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    field + ".revision: " + revision + " is not after " + from + " up to " + to);
        }
    }
}
