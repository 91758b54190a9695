package rockshift.distribution;

import java.util.ArrayDeque;

/**
 * What has been sent to a subscription in its current scope, and what is still to be sent. Confined
 * to the publisher's thread.
 */
final class DeliveryState {
    private static final long UP_TO_DATE = Long.MAX_VALUE;

    private Revision sentRevision = Revision.NONE;
    private long sentDigest;
    private long unchangedThrough;
    private long lastChangeNumber;
    private long outdatedSinceMillis = UP_TO_DATE;
    private boolean needsSnapshot;
    private SnapshotTransfer transfer;
    private final ArrayDeque<Long> unacknowledged = new ArrayDeque<>();

    /** Resets the state for another scope, of which nothing has been sent. */
    void restart() {
        sentRevision = Revision.NONE;
        outdatedSinceMillis = UP_TO_DATE;
        needsSnapshot = false;
        transfer = null;
        unacknowledged.clear();
    }

    /**
     * Returns the revision that the subscriber is at once it has received everything sent; {@link
     * Revision#NONE} while it waits for a snapshot.
     */
    Revision sentRevision() {
        return sentRevision;
    }

    /** Returns the digest of the scope's state at {@link #sentRevision}. */
    long sentDigest() {
        return sentDigest;
    }

    /**
     * Returns the last revision number up to which nothing has changed in the scope since {@link
     * #sentRevision}.
     */
    long unchangedThrough() {
        return unchangedThrough;
    }

    /** Returns the revision number of the last message that changed the subscriber's state. */
    long lastChangeNumber() {
        return lastChangeNumber;
    }

    /** Advances to a revision at which the subscriber's state is unchanged. */
    void advanceTo(Revision revision) {
        sentRevision = revision;
        unchangedThrough = revision.number();
    }

    /**
     * Resumes from a state that the subscriber has retained. The digest lets the subscriber verify
     * that state.
     */
    void resumeFrom(Revision revision, long digest) {
        advanceTo(revision);
        sentDigest = digest;
        lastChangeNumber = revision.number();
    }

    /** Handles the sending of a difference that leads to this revision. */
    void differenceSent(Revision revision, long digest) {
        advanceTo(revision);
        sentDigest = digest;
        outdatedSinceMillis = UP_TO_DATE;
        awaitAcknowledgement(revision.number());
    }

    /** Handles changes that cancel each other out in the scope, so that nothing is sent. */
    void changesCancelledOut(long number) {
        unchangedThrough = number;
        outdatedSinceMillis = UP_TO_DATE;
    }

    /** Starts a snapshot, which replaces everything still to be sent. */
    void startTransfer(SnapshotTransfer started) {
        transfer = started;
        needsSnapshot = false;
        outdatedSinceMillis = UP_TO_DATE;
        sentRevision = Revision.NONE;
        unchangedThrough = started.revision().number();
        lastChangeNumber = started.revision().number();
    }

    /** Handles the sending of the last part of the snapshot. */
    void finishTransfer() {
        sentRevision = transfer.revision();
        sentDigest = transfer.digest();
        awaitAcknowledgement(sentRevision.number());
        transfer = null;
    }

    /** Returns the snapshot in progress; null if there is none. */
    SnapshotTransfer transfer() {
        return transfer;
    }

    /**
     * Marks the subscriber as outdated, unless it is already.
     *
     * @param unchangedNumber the last revision number before the change
     * @param freshAtMillis when the state already sent was last known to be current
     */
    void markOutdated(long unchangedNumber, long freshAtMillis) {
        if (!outdated()) {
            unchangedThrough = unchangedNumber;
            outdatedSinceMillis = freshAtMillis;
        }
    }

    /**
     * Marks the subscriber as outdated to the point that only a snapshot can bring it up to date.
     */
    void requireSnapshot(long freshAtMillis) {
        markOutdated(unchangedThrough, freshAtMillis);
        needsSnapshot = true;
    }

    boolean needsSnapshot() {
        return needsSnapshot;
    }

    boolean outdated() {
        return outdatedSinceMillis != UP_TO_DATE;
    }

    /**
     * Returns when the state already sent was last known to be current.
     *
     * @param storeFreshAtMillis when the state of the store was last known to be current
     */
    long freshAtMillis(long storeFreshAtMillis) {
        return Math.min(outdatedSinceMillis, storeFreshAtMillis);
    }

    /** Handles an acknowledgement of everything up to a revision number. */
    void acknowledged(long number) {
        while (!unacknowledged.isEmpty() && unacknowledged.peek() <= number) {
            unacknowledged.poll();
        }
    }

    /**
     * Returns the number of state-changing messages that are not acknowledged; a snapshot counts as
     * one.
     */
    int unacknowledged() {
        return unacknowledged.size();
    }

    private void awaitAcknowledgement(long number) {
        lastChangeNumber = number;
        unacknowledged.add(number);
    }
}
