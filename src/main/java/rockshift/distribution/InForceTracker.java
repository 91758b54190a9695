package rockshift.distribution;

import java.util.ArrayDeque;

/** What a subscriber's host has put in force of what was handed over to it. */
final class InForceTracker {
    /** A state or difference handed over and not yet in force. */
    private record Delivery(Revision revision, long scopeEpoch) {}

    /** More deliveries are not told apart: the oldest is taken as part of the next. */
    private static final int MOST_DELIVERIES = 64;

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
        if (deliveries.size() == MOST_DELIVERIES) {
            deliveries.poll();
        }
        deliveries.add(new Delivery(revision, epoch));
    }

    /**
     * The host says so of a delivery, and with it of all before; answers whether there was such a
     * one.
     */
    boolean acknowledged(Revision revision, Revision held) {
        if (deliveries.stream().noneMatch(each -> each.revision().equals(revision))) {
            return false;
        }
        Delivery done = deliveries.poll();
        while (!done.revision().equals(revision)) {
            done = deliveries.poll();
        }
        inForce = deliveries.isEmpty() ? held : done.revision();
        scopeEpoch = done.scopeEpoch();
        return true;
    }

    /** What is held stands unchanged at a later revision. */
    void advanced(Revision held) {
        if (deliveries.isEmpty()) {
            inForce = held;
        }
    }
}
