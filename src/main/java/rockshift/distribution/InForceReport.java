package rockshift.distribution;

/**
 * What a subscriber reports to be in force at it and below it, and what that contributes to the
 * publisher's {@link Summary}. Owned by the publisher's thread.
 */
final class InForceReport {
    private boolean received;
    private Revision inForce = Revision.NONE;
    private Summary summary;
    private int lostBefore;
    private SummaryAggregator.Contribution contribution = SummaryAggregator.Contribution.NOTHING;

    /** This many controllers were lost with the subscriber's last connection. */
    void lostBefore(int controllers) {
        lostBefore = controllers;
    }

    /** Nothing is in force yet of the scope that was asked for. */
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

    /** How many controllers are lost if the connection ends. */
    int controllersLostIfDisconnected() {
        return received ? summary.subscribers() + summary.unreachable() : Math.max(1, lostBefore);
    }

    /** What was last taken into the publisher's summary. */
    SummaryAggregator.Contribution contribution() {
        return contribution;
    }

    /** Works the contribution out anew; returns the one before. */
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
