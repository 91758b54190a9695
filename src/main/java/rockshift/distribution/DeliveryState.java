package rockshift.distribution;

import java.util.ArrayDeque;

/**
 * What a subscription has been sent of its current scope, and what it still lacks. Owned by the
 * publisher's thread.
 */
final class DeliveryState {
    private static final long UP_TO_DATE = Long.MAX_VALUE;

    private Revision sentRevision = Revision.NONE;
    private long sentDigest;
    private long unchangedThrough;
    private long lastRelevantNumber;
    private long outdatedSinceMillis = UP_TO_DATE;
    private boolean needsSnapshot;
    private SnapshotTransfer transfer;
    private final ArrayDeque<Long> unacknowledged = new ArrayDeque<>();

    /** Begins again for another scope, of which nothing has been sent. */
    void restart() {
        sentRevision = Revision.NONE;
        outdatedSinceMillis = UP_TO_DATE;
        needsSnapshot = false;
        transfer = null;
        unacknowledged.clear();
    }

    /**
     * What the subscriber has once it has received all that was sent; none while it waits for a
     * snapshot.
     */
    Revision sentRevision() {
        return sentRevision;
    }

    /** The digest of the scope's state at {@link #sentRevision}. */
    long sentDigest() {
        return sentDigest;
    }

    /** The last number up to which nothing changed in the scope since {@link #sentRevision}. */
    long unchangedThrough() {
        return unchangedThrough;
    }

    /** The number of the last message that changed the subscriber's state. */
    long lastRelevantNumber() {
        return lastRelevantNumber;
    }

    /** The subscriber's state stands unchanged at this revision. */
    void unchangedAt(Revision revision) {
        sentRevision = revision;
        unchangedThrough = revision.number();
    }

    /** The subscriber resumes from a state that it has kept, which its digest confirms. */
    void resumeFrom(Revision revision, long digest) {
        unchangedAt(revision);
        sentDigest = digest;
        lastRelevantNumber = revision.number();
    }

    /** A difference was sent. */
    void differenceSent(Revision revision, long digest) {
        unchangedAt(revision);
        sentDigest = digest;
        outdatedSinceMillis = UP_TO_DATE;
        awaitAcknowledgement(revision.number());
    }

    /** The changes since the last message cancel each other out in this scope. */
    void changesCancelledOut(long number) {
        unchangedThrough = number;
        outdatedSinceMillis = UP_TO_DATE;
    }

    /** A snapshot begins, in place of anything that was still to be sent. */
    void startTransfer(SnapshotTransfer started) {
        transfer = started;
        needsSnapshot = false;
        outdatedSinceMillis = UP_TO_DATE;
        sentRevision = Revision.NONE;
        unchangedThrough = started.revision().number();
        lastRelevantNumber = started.revision().number();
    }

    /** The last part of the snapshot was sent. */
    void finishTransfer() {
        sentRevision = transfer.revision();
        sentDigest = transfer.digest();
        awaitAcknowledgement(sentRevision.number());
        transfer = null;
    }

    /** The snapshot under way; null if there is none. */
    SnapshotTransfer transfer() {
        return transfer;
    }

    /**
     * Something in the scope changed after a number.
     *
     * @param freshAtMillis when what was sent was last known to be the newest
     */
    void outdate(long unchangedNumber, long freshAtMillis) {
        if (!outdated()) {
            unchangedThrough = unchangedNumber;
            outdatedSinceMillis = freshAtMillis;
        }
    }

    /** Only a snapshot can bring the subscriber up to date. */
    void requireSnapshot(long freshAtMillis) {
        outdate(unchangedThrough, freshAtMillis);
        needsSnapshot = true;
    }

    boolean needsSnapshot() {
        return needsSnapshot;
    }

    boolean outdated() {
        return outdatedSinceMillis != UP_TO_DATE;
    }

    /**
     * When what was sent was last known to be the newest.
     *
     * @param storeFreshAtMillis when the store's state was
     */
    long freshAtMillis(long storeFreshAtMillis) {
        return Math.min(outdatedSinceMillis, storeFreshAtMillis);
    }

    /** The subscriber has put everything up to this number in force. */
    void acknowledged(long number) {
        while (!unacknowledged.isEmpty() && unacknowledged.peek() <= number) {
            unacknowledged.poll();
        }
    }

    /** Messages that changed the subscriber's state and are not acknowledged. */
    int unacknowledged() {
        return unacknowledged.size();
    }

    private void awaitAcknowledgement(long number) {
        lastRelevantNumber = number;
        unacknowledged.add(number);
    }
}
