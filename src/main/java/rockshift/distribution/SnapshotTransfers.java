package rockshift.distribution;

/**
 * Sends snapshots part by part, a bounded number at a time. Owned by the publisher's thread.
 *
 * <p>The bound guards against a publisher that copies its state for every subscriber at once after
 * a restart: memory then grows with the fleet. Subscriptions beyond it are answered {@code busy} or
 * wait.
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

    /** How many are under way. */
    int active() {
        return active;
    }

    /** Whether no further one may begin. */
    boolean atLimit() {
        return active >= limits.admission().maxConcurrentSnapshots();
    }

    /** Begins a snapshot of the current state, unless it has to wait. */
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

    /** Sends the parts that the subscriber's window lets through. */
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

    /** The connection ended, or its scope changed: what was under way no longer counts. */
    void abandon(Subscription subscription) {
        if (subscription.delivery().transfer() != null) {
            active--;
        }
    }
}
