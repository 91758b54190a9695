package rockshift.distribution;

import java.util.ArrayDeque;

/**
 * What a subscriber's host has put in force of the states delivered to it. Owned by the
 * subscriber's thread.
 */
final class InForceTracker {
    /** A state or difference handed over and not yet in force. */
    private record Delivery(Revision revision, long scopeEpoch) {}

    /** More deliveries are not tracked one by one: the oldest is taken as part of the next. */
    private static final int MAX_DELIVERIES = 64;

    private final ArrayDeque<Delivery> deliveries = new ArrayDeque<>();
    private Revision inForce = Revision.NONE;
    private long scopeEpoch;

    /** What is in force of a scope; none while it is still an earlier scope's. */
    Revision of(long epoch) {
        return scopeEpoch == epoch ? inForce : Revision.NONE;
    }

    /** Begins with what was in force in an earlier run, or with nothing. */
    void begin(Revision revision, long epoch) {
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
     * The host says so of a delivery, and with it of all before; returns whether there was such a
     * one.
     */
    boolean acknowledged(Revision revision, Revision current) {
        if (deliveries.stream().noneMatch(each -> each.revision().equals(revision))) {
            return false;
        }
        Delivery done = deliveries.poll();
        while (!done.revision().equals(revision)) {
            done = deliveries.poll();
        }
        inForce = deliveries.isEmpty() ? current : done.revision();
        scopeEpoch = done.scopeEpoch();
        return true;
    }

    /** The state stands unchanged at a later revision. */
    void advanced(Revision current) {
        if (deliveries.isEmpty()) {
            inForce = current;
        }
    }
}
