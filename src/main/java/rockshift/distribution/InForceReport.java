package rockshift.distribution;

/**
 * What a subscriber reports to be in force at itself and downstream of it, and its contribution to
 * the publisher's {@link Summary}. Confined to the publisher's thread.
 */
final class InForceReport {
    private boolean received;
    private Revision inForce = Revision.NONE;
    private Summary summary;
    private int controllersLostBefore;
    private SummaryAggregator.Contribution contribution = SummaryAggregator.Contribution.NOTHING;

    /** Sets the number of controllers that were lost with the subscriber's previous connection. */
    void controllersLostBefore(int controllers) {
        controllersLostBefore = controllers;
    }

    /** Resets the report for a new scope, of which nothing is in force yet. */
    void restart() {
        received = false;
        inForce = Revision.NONE;
    }

    void receive(DistributionMessage.Acknowledge message) {
        received = true;
        inForce = message.inForce();
        summary = message.summary();
    }

    Revision inForce() {
        return inForce;
    }

    /** Returns the number of controllers that become unreachable if the connection ends. */
    int controllersLostIfDisconnected() {
        return received
                ? summary.subscribers() + summary.unreachable()
                : Math.max(1, controllersLostBefore);
    }

    /** Returns the contribution last added to the publisher's summary. */
    SummaryAggregator.Contribution contribution() {
        return contribution;
    }

    /** Recomputes the contribution and returns the previous one. */
    SummaryAggregator.Contribution replaceContribution(String subscriber, DeliveryState delivery) {
        SummaryAggregator.Contribution before = contribution;
        contribution = currentContribution(subscriber, delivery);
        return before;
    }

    private SummaryAggregator.Contribution currentContribution(
            String subscriber, DeliveryState delivery) {
        if (!received) {
            return new SummaryAggregator.Contribution(false, 0, 1, 1, 0, Digest.of(subscriber));
        }
        long lowest = Math.min(inForce.number(), summary.lowestRevision());
        boolean pending = delivery.outdated() || delivery.transfer() != null;
        boolean hasAll = !pending && inForce.number() >= delivery.lastChangeNumber();
        return new SummaryAggregator.Contribution(
                !pending && lowest >= delivery.lastChangeNumber(),
                lowest,
                summary.subscribers(),
                hasAll ? summary.behind() : summary.subscribers(),
                summary.unreachable(),
                summary.fingerprint());
    }
}
