package rockshift.distribution;

import java.util.Objects;

/**
 * The state of an item after a change. An update carries the whole item, so it can be applied
 * twice, or after an earlier update to the same item was skipped.
 *
 * @param revision the number of the revision that last changed the item
 * @param item the item at that revision; for a deletion without its value
 * @param deleted whether the item was deleted
 */
public record Update(long revision, Item item, boolean deleted) {
    /** Requires the item to be non-null. */
    public Update {
        Objects.requireNonNull(item);
    }

    /** Returns an update that adds or replaces an item. */
    public static Update put(long revision, Item item) {
        return new Update(revision, item, false);
    }

    /** Returns an update that deletes an item. */
    public static Update delete(long revision, Item item) {
        return new Update(revision, item.withoutValue(), true);
    }

    /** Rejects an update whose revision is not in the range from (exclusive) to (inclusive). */
    void checkBetween(long from, long to, String field) throws RejectionException {
        if (revision <= from || revision > to) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    field
                            + ".revision: expected after "
                            + from
                            + " and up to "
                            + to
                            + ", got "
                            + revision);
        }
    }
}
