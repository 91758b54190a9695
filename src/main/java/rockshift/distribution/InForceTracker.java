package rockshift.distribution;

import java.util.ArrayDeque;

/**
 * Tracks which of the states delivered to a subscriber's host are in force. Confined to the
 * subscriber's thread.
 */
final class InForceTracker {
    /** A snapshot or difference that was delivered and is not in force yet. */
    private record Delivery(Revision revision, long scopeEpoch) {}

    /** Beyond this number of pending deliveries the oldest is merged into the next. */
    private static final int MAX_DELIVERIES = 64;

    private final ArrayDeque<Delivery> deliveries = new ArrayDeque<>();
    private Revision inForce = Revision.NONE;
    private long scopeEpoch;

    /**
     * Returns the revision in force of a scope; {@link Revision#NONE} while that of an earlier
     * scope is still in force.
     */
    Revision inForce(long epoch) {
        return scopeEpoch == epoch ? inForce : Revision.NONE;
    }

    /** Resets to the revision that was in force in an earlier run, or to {@link Revision#NONE}. */
    void reset(Revision revision, long epoch) {
        deliveries.clear();
        inForce = revision;
        scopeEpoch = epoch;
    }

    void delivered(Revision revision, long epoch) {
        if (deliveries.size() == MAX_DELIVERIES) {
            deliveries.poll();
        }
        deliveries.add(new Delivery(revision, epoch));
    }

    /**
     * Marks a delivery and all before it as in force.
     *
     * @return whether a delivery of this revision was pending
     */
    boolean acknowledged(Revision revision, Revision current) {
        if (deliveries.stream().noneMatch(each -> each.revision().equals(revision))) {
            return false;
        }
        Delivery applied = deliveries.poll();
        while (!applied.revision().equals(revision)) {
            applied = deliveries.poll();
        }
        inForce = deliveries.isEmpty() ? current : applied.revision();
        scopeEpoch = applied.scopeEpoch();
        return true;
    }

    /**
     * Advances to a later revision at which the state is unchanged, unless a delivery is pending.
     */
    void advanced(Revision current) {
        if (deliveries.isEmpty()) {
            inForce = current;
        }
    }
}
