package rockshift.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of a snapshot received so far. The snapshot takes effect only once all parts are
 * present and the digest matches. Confined to the subscriber's thread.
 */
final class SnapshotAssembly {
    private final DistributionMessage.SnapshotPart first;
    private final Limits.Sizes sizes;
    private final List<Item> items = new ArrayList<>();
    private final Map<String, Long> digests = new HashMap<>();
    private long digest;
    private int received;

    SnapshotAssembly(DistributionMessage.SnapshotPart first, Limits.Sizes sizes)
            throws RejectionException {
        if (first.part() != 0) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "part: expected the first part to be 0, got " + first.part());
        } else if (first.parts() < 1) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, "parts: " + first.parts() + ", must be at least 1");
        } else if (first.parts() > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "parts: " + first.parts() + " parts, maximum is " + sizes.maxStateItems());
        }
        this.first = first;
        this.sizes = sizes;
    }

    /** Adds the next part. */
    void add(DistributionMessage.SnapshotPart part, Scope scope) throws RejectionException {
        if (!part.revision().equals(first.revision())
                || part.parts() != first.parts()
                || part.digest() != first.digest()
                || part.part() != received) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "part: expected "
                            + received
                            + " of "
                            + first.parts()
                            + " at "
                            + first.revision()
                            + " with digest "
                            + first.digest()
                            + ", got "
                            + part.part()
                            + " of "
                            + part.parts()
                            + " at "
                            + part.revision()
                            + " with digest "
                            + part.digest());
        } else if (part.items().size() > sizes.maxPartItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "items: "
                            + part.items().size()
                            + " items in a part, maximum is "
                            + sizes.maxPartItems());
        } else if (items.size() + part.items().size() > sizes.maxStateItems()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "items: state would hold "
                            + (items.size() + part.items().size())
                            + " items, maximum is "
                            + sizes.maxStateItems());
        }
        received++;
        for (Item item : part.items()) {
            add(item, scope);
        }
        if (complete() && digest != first.digest()) {
            throw new RejectionException(
                    RejectionReason.DIGEST_MISMATCH,
                    "snapshot: digest does not match the items at " + first.revision());
        }
    }

    private void add(Item item, Scope scope) throws RejectionException {
        String field = "items[" + items.size() + "]";
        sizes.check(item, field);
        if (!scope.matches(item)) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_SCOPE, field + ": " + item + " is outside the scope");
        }
        long itemDigest = item.digest();
        if (digests.put(item.key(), itemDigest) != null) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, field + ".key: '" + item.key() + "' is duplicated");
        }
        items.add(item);
        digest += itemDigest;
    }

    boolean complete() {
        return received == first.parts();
    }

    int received() {
        return received;
    }

    Revision revision() {
        return first.revision();
    }

    List<Item> items() {
        return items;
    }

    Map<String, Long> digests() {
        return digests;
    }
}
