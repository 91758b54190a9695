package rockshift.distribution;

/**
 * Sends snapshots part by part, with a limit on the number in progress. Confined to the publisher's
 * thread.
 *
 * <p>Without the limit, a publisher would copy its state for every subscriber at once after a
 * restart, and its memory use would grow with the fleet. Beyond the limit new subscriptions are
 * rejected as {@code busy} and existing ones wait.
 */
final class SnapshotTransfers {
    private final ConfigurationStore store;
    private final Limits limits;
    private final Publisher.Transport transport;
    private int active;

    SnapshotTransfers(ConfigurationStore store, Limits limits, Publisher.Transport transport) {
        this.store = store;
        this.limits = limits;
        this.transport = transport;
    }

    /** Returns the number of transfers in progress. */
    int active() {
        return active;
    }

    /** Returns whether no further transfer may start. */
    boolean atLimit() {
        return active >= limits.admission().maxConcurrentSnapshots();
    }

    /** Starts a snapshot of the current state, unless it has to wait. */
    void start(Subscription subscription, long nowMillis) {
        if (atLimit() || !subscription.mayStartTransfer()) {
            return;
        }
        active++;
        Scope scope = subscription.scope();
        subscription
                .delivery()
                .startTransfer(
                        new SnapshotTransfer(
                                store.current(),
                                store.digest(scope),
                                store.snapshot(scope),
                                limits.sizes(),
                                nowMillis));
        proceed(subscription);
    }

    /** Sends the parts that the subscriber's window permits. */
    void proceed(Subscription subscription) {
        SnapshotTransfer transfer = subscription.delivery().transfer();
        while (transfer.mayContinue(limits.admission().maxUnacknowledgedParts())) {
            transport.send(subscription.connection(), transfer.next(subscription.scopeEpoch()));
        }
        if (transfer.complete()) {
            active--;
            subscription.delivery().finishTransfer();
        }
    }

    /**
     * Stops counting the transfer of a subscription whose connection ended or whose scope changed.
     */
    void abandon(Subscription subscription) {
        if (subscription.delivery().transfer() != null) {
            active--;
        }
    }
}
