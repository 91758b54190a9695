package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * A snapshot being sent to one subscriber: taken at one revision and sent in parts as the
 * subscriber acknowledges them. Confined to the publisher's thread.
 */
final class SnapshotTransfer {
    private final Revision revision;
    private final long digest;
    private final long startedAtMillis;
    private final List<List<Item>> parts;
    private int sent;
    private int acknowledged;

    SnapshotTransfer(
            Revision revision, long digest, List<Item> items, Limits.Sizes sizes, long nowMillis) {
        this.revision = revision;
        this.digest = digest;
        this.startedAtMillis = nowMillis;
        this.parts = split(items, sizes);
    }

    Revision revision() {
        return revision;
    }

    long digest() {
        return digest;
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Records that the subscriber has received this many parts. */
    void acknowledged(int count) {
        acknowledged = Math.max(acknowledged, Math.min(count, sent));
    }

    boolean complete() {
        return sent == parts.size();
    }

    /**
     * Returns whether the next part may be sent, given the maximum number of unacknowledged parts.
     */
    boolean mayContinue(int window) {
        return !complete() && sent - acknowledged < window;
    }

    DistributionMessage.SnapshotPart next(long scopeEpoch) {
        int part = sent++;
        return new DistributionMessage.SnapshotPart(
                scopeEpoch, revision, part, parts.size(), digest, parts.get(part));
    }

    private static List<List<Item>> split(List<Item> items, Limits.Sizes sizes) {
        List<List<Item>> parts = new ArrayList<>();
        int start = 0;
        long bytes = 0;
        for (int index = 0; index < items.size(); index++) {
            long itemBytes = items.get(index).bytes();
            if (index > start
                    && (index - start == sizes.maxPartItems()
                            || bytes + itemBytes > sizes.maxPartBytes())) {
                parts.add(items.subList(start, index));
                start = index;
                bytes = 0;
            }
            bytes += itemBytes;
        }
        parts.add(items.subList(start, items.size()));
        return parts;
    }
}
