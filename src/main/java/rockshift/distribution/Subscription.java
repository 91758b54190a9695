package rockshift.distribution;

/**
 * A downstream connection and its subscription: the subscriber, its scope, and the time at which
 * the subscription is next due. Confined to the publisher's thread.
 */
final class Subscription {
    private final long connection;
    private final DeliveryState delivery = new DeliveryState();
    private final InForceReport report = new InForceReport();

    private String name;
    private long scopeEpoch;
    private Scope scope;
    private int unconfirmedScopeChanges;

    private long lastReceivedAtMillis;
    private long echoMillis;
    private long heartbeatAtMillis = Long.MAX_VALUE;
    private long dueAtMillis;

    Subscription(long connection, long nowMillis) {
        this.connection = connection;
        this.lastReceivedAtMillis = nowMillis;
    }

    long connection() {
        return connection;
    }

    /** Returns the subscriber's name; null until it has subscribed. */
    String name() {
        return name;
    }

    boolean subscribed() {
        return name != null;
    }

    long scopeEpoch() {
        return scopeEpoch;
    }

    Scope scope() {
        return scope;
    }

    /** Returns what was sent to the subscriber and what is still to be sent. */
    DeliveryState delivery() {
        return delivery;
    }

    /** Returns what the subscriber reports to be in force. */
    InForceReport report() {
        return report;
    }

    /** Starts the subscription, or replaces its scope; nothing of the new scope is in force yet. */
    void subscribe(DistributionMessage.Subscribe message, int controllersLostBefore) {
        if (name == null) {
            report.controllersLostBefore(controllersLostBefore);
        } else {
            unconfirmedScopeChanges++;
        }
        name = message.subscriber();
        scopeEpoch = message.scopeEpoch();
        scope = message.scope();
        report.restart();
        delivery.restart();
    }

    /** Handles an acknowledgement of the current scope. */
    void acknowledge(DistributionMessage.Acknowledge message) {
        unconfirmedScopeChanges = 0;
        report.receive(message);
        delivery.acknowledged(message.inForce().number());
    }

    /** Returns the number of scope changes since the last acknowledgement of the current scope. */
    int unconfirmedScopeChanges() {
        return unconfirmedScopeChanges;
    }

    /**
     * Returns whether the subscriber has acknowledged everything sent so far, so that at most one
     * snapshot is in transit to it.
     */
    boolean mayStartTransfer() {
        return delivery.unacknowledged() == 0 && unconfirmedScopeChanges == 0;
    }

    /**
     * Handles the receipt of a valid message.
     *
     * @param sentMillis the subscriber's clock when it sent the message
     */
    void received(long sentMillis, long nowMillis) {
        lastReceivedAtMillis = nowMillis;
        echoMillis = sentMillis;
    }

    long lastReceivedAtMillis() {
        return lastReceivedAtMillis;
    }

    /** Returns the subscriber's clock in its last message, which the next heartbeat echoes. */
    long echoMillis() {
        return echoMillis;
    }

    void heartbeatAtMillis(long atMillis) {
        heartbeatAtMillis = atMillis;
    }

    /**
     * Returns when the next heartbeat is due; {@link Long#MAX_VALUE} until the subscription is
     * active.
     */
    long heartbeatAtMillis() {
        return heartbeatAtMillis;
    }

    void dueAtMillis(long atMillis) {
        dueAtMillis = atMillis;
    }

    long dueAtMillis() {
        return dueAtMillis;
    }
}
