package rockshift.distribution;

/**
 * One connection of a publisher and the subscription on it: who subscribes to which scope, and when
 * it needs attention next. Owned by the publisher's thread.
 */
final class Subscription {
    private final long connection;
    private final DeliveryState delivery = new DeliveryState();
    private final InForceReport report = new InForceReport();

    private String name;
    private long scopeEpoch;
    private Scope scope;
    private int unconfirmedScopes;

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

    /** The subscriber's name; null before it has subscribed. */
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

    /** What was sent, and what is still to be. */
    DeliveryState delivery() {
        return delivery;
    }

    /** What the subscriber reports to be in force. */
    InForceReport report() {
        return report;
    }

    /** Begins with a scope, or goes on with another one; nothing is in force of it yet. */
    void subscribe(DistributionMessage.Subscribe message, int controllersLostBefore) {
        if (name == null) {
            report.lostBefore(controllersLostBefore);
        } else {
            unconfirmedScopes++;
        }
        name = message.subscriber();
        scopeEpoch = message.scopeEpoch();
        scope = message.scope();
        report.restart();
        delivery.restart();
    }

    /** The subscriber confirms the scope, and what of it is in force. */
    void acknowledge(DistributionMessage.Acknowledge message) {
        unconfirmedScopes = 0;
        report.receive(message);
        delivery.acknowledged(message.inForce().number());
    }

    /** Changes of scope since the subscriber last showed that it reads. */
    int unconfirmedScopes() {
        return unconfirmedScopes;
    }

    /**
     * Whether all that was sent before has been read, so that no more than one snapshot waits to be
     * read.
     */
    boolean mayStartTransfer() {
        return delivery.unacknowledged() == 0 && unconfirmedScopes == 0;
    }

    /** A valid message came, sent at this time by the subscriber's clock. */
    void received(long sentMillis, long nowMillis) {
        lastReceivedAtMillis = nowMillis;
        echoMillis = sentMillis;
    }

    long lastReceivedAtMillis() {
        return lastReceivedAtMillis;
    }

    /** The subscriber's clock in its last message, which the next heartbeat returns. */
    long echoMillis() {
        return echoMillis;
    }

    void heartbeatAtMillis(long atMillis) {
        heartbeatAtMillis = atMillis;
    }

    /** When the next heartbeat is due; never before the subscription stands. */
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
