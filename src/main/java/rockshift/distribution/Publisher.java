package rockshift.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The downstream side of a member or relay: serves subscribers from a store. The host, which owns
 * the sockets, assigns a number to each connection. The cost of a change depends on the number of
 * affected subscriptions, and heartbeats are spread over their interval.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time. {@link SubscriptionAdmission}
 * decides who may subscribe, {@link SubscriptionUpdater} what each subscription is sent; {@link
 * SummaryAggregator} sums up what is in force downstream.
 */
public final class Publisher {
    /** The operations that the host performs. They must not call back into the publisher. */
    public interface Transport {
        /** Sends a message; messages on a connection keep their order. */
        void send(long connection, DistributionMessage message);

        /**
         * Closes a connection once everything sent on it has been written. The host need not call
         * {@link #disconnected} afterwards.
         */
        void close(long connection, RejectionReason reason, String detail);
    }

    private final ConfigurationStore store;
    private final Scope served;
    private final Limits limits;
    private final Transport transport;
    private final SnapshotTransfers transfers;
    private final SubscriptionAdmission admission;
    private final SubscriptionUpdater updater;
    private final SubscriptionTimers timers;
    private final SummaryAggregator summaries;
    private final RejectionCounters rejections = new RejectionCounters();
    private final SubscriptionIndex index = new SubscriptionIndex();
    private final Map<Long, Subscription> connections = new HashMap<>();
    private final Map<String, Subscription> byName = new HashMap<>();

    /**
     * Creates a publisher without subscribers.
     *
     * @param store the state to serve; its owner changes it and then calls {@link #published}
     * @param served the scope that the store holds; subscriptions beyond it are rejected
     */
    public Publisher(
            ConfigurationStore store,
            Scope served,
            Limits limits,
            RandomGenerator random,
            Transport transport) {
        this.store = store;
        this.served = served;
        this.limits = limits;
        this.transport = transport;
        this.transfers = new SnapshotTransfers(store, limits, transport);
        this.admission = new SubscriptionAdmission(store, limits, random, transfers);
        this.updater = new SubscriptionUpdater(store, limits, transport, transfers);
        this.timers = new SubscriptionTimers(limits.timing(), random);
        this.summaries = new SummaryAggregator(limits.admission().maxConnections());
    }

    /** Handles a new connection. */
    public void connected(long connection, long nowMillis) {
        if (connections.size() >= limits.admission().maxConnections()) {
            rejectConnection(connection, nowMillis);
            return;
        }
        Subscription subscription = new Subscription(connection, nowMillis);
        connections.put(connection, subscription);
        timers.schedule(subscription);
    }

    /** Handles the end of a connection. Unknown connections are ignored. */
    public void disconnected(long connection, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            remove(subscription, nowMillis);
        }
    }

    /** Handles a message. Messages on a closed connection are ignored. */
    public void received(long connection, DistributionMessage message, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription == null) {
            return;
        }
        try {
            if (message instanceof DistributionMessage.Subscribe subscribe) {
                subscribe(subscription, subscribe, nowMillis);
            } else if (message instanceof DistributionMessage.Acknowledge acknowledge) {
                acknowledge(subscription, acknowledge, nowMillis);
            } else {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        "message: "
                                + message.getClass().getSimpleName()
                                + " is not accepted by a publisher");
            }
        } catch (RejectionException rejection) {
            reject(subscription, rejection.reason(), rejection.detail(), 0, nowMillis);
        }
    }

    /**
     * Handles a message that the host could not decode: counts it, sends a rejection, and closes
     * the connection.
     */
    public void undecodable(
            long connection, RejectionReason reason, String detail, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            reject(subscription, reason, detail, 0, nowMillis);
        }
    }

    /**
     * Sends the changes of the store to the affected subscriptions. Must be called after each
     * change of the store, before any other call.
     */
    public void storeChanged(long nowMillis) {
        updater.markAffectedOutdated(index).forEach(subscription -> flush(subscription, nowMillis));
    }

    /**
     * Records that the store held the newest state at this time. A member calls this while it
     * follows a leader, after publishing everything agreed up to that time, and not otherwise.
     */
    public void storeFreshAt(long atMillis) {
        updater.freshAt(atMillis);
    }

    /**
     * Runs the due work: heartbeats, closing of silent connections, and delayed changes. Must be
     * called about every 50 ms.
     */
    public void tick(long nowMillis) {
        summaries.expireLost(nowMillis);
        Subscription due = timers.pollDue(nowMillis);
        while (due != null) {
            long silentMillis = nowMillis - due.lastReceivedAtMillis();
            if (silentMillis >= limits.timing().silenceTimeoutMillis()) {
                String detail = "no message received for " + silentMillis + " ms";
                close(due, RejectionReason.SILENT, detail, nowMillis);
            } else if (due.heartbeatAtMillis() <= nowMillis) {
                heartbeat(due, nowMillis);
            } else {
                timers.schedule(due);
            }
            due = timers.pollDue(nowMillis);
        }
    }

    /** Returns what is in force downstream. */
    public Summary summary() {
        return summaries.sum(store.current().number());
    }

    /** Returns the count of each rejection reason. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejections.counts();
    }

    /** Returns the number of open connections, subscribed or not. */
    public int connections() {
        return connections.size();
    }

    private void rejectConnection(long connection, long nowMillis) {
        rejections.count(RejectionReason.BUSY);
        String detail =
                "connections: "
                        + connections.size()
                        + " open, maximum is "
                        + limits.admission().maxConnections();
        transport.send(
                connection,
                new DistributionMessage.Rejected(
                        0, RejectionReason.BUSY, detail, admission.retryWhenBusy(nowMillis)));
        transport.close(connection, RejectionReason.BUSY, detail);
    }

    private void subscribe(
            Subscription subscription, DistributionMessage.Subscribe message, long nowMillis)
            throws RejectionException {
        RequestValidator.check(message, subscription, served, limits);
        Optional<SubscriptionAdmission.Deferral> deferral =
                admission.defer(subscription, message, nowMillis);
        if (deferral.isPresent()) {
            SubscriptionAdmission.Deferral deferred = deferral.get();
            reject(
                    subscription,
                    deferred.reason(),
                    deferred.detail(),
                    deferred.retryAfterMillis(),
                    nowMillis);
            return;
        }
        subscription.received(message.sentMillis(), nowMillis);
        boolean newSubscription = !subscription.subscribed();
        if (newSubscription) {
            closeEarlierConnection(message.subscriber(), nowMillis);
        } else {
            index.remove(subscription);
            transfers.abandon(subscription);
        }
        subscription.subscribe(
                message, newSubscription ? summaries.removeLost(message.subscriber()) : 0);
        byName.put(message.subscriber(), subscription);
        index.add(subscription);
        sendNoticeIfUnmatched(subscription);
        updater.start(subscription, message.held(), nowMillis);
        updateSummary(subscription);
        timers.cancel(subscription);
        heartbeat(subscription, nowMillis);
        if (newSubscription) {
            timers.stagger(subscription, nowMillis);
        }
    }

    /**
     * Closes an earlier connection of the same subscriber, which is usually dead without the
     * publisher having noticed. If it is alive, two processes share one name: the earlier one is
     * told to retry only after the maximum backoff, so that the two do not keep replacing each
     * other.
     */
    private void closeEarlierConnection(String name, long nowMillis) {
        Subscription earlier = byName.get(name);
        if (earlier != null) {
            reject(
                    earlier,
                    RejectionReason.REPLACED,
                    "subscriber: '" + name + "' subscribed on another connection",
                    limits.timing().maxBackoffMillis(),
                    nowMillis);
        }
    }

    private void sendNoticeIfUnmatched(Subscription subscription) {
        String unmatched = store.firstUnknownName(subscription.scope());
        if (unmatched == null || subscription.scope().everything()) {
            return;
        }
        rejections.count(RejectionReason.MATCHES_NOTHING);
        transport.send(
                subscription.connection(),
                new DistributionMessage.Notice(
                        subscription.scopeEpoch(), RejectionReason.MATCHES_NOTHING, unmatched));
    }

    private void acknowledge(
            Subscription subscription, DistributionMessage.Acknowledge message, long nowMillis)
            throws RejectionException {
        RequestValidator.checkSubscribed(message, subscription);
        subscription.received(message.sentMillis(), nowMillis);
        if (message.scopeEpoch() < subscription.scopeEpoch()) {
            return;
        }
        RequestValidator.check(message, subscription, store.current());
        SnapshotTransfer transfer = subscription.delivery().transfer();
        if (transfer != null) {
            transfer.acknowledged(message.snapshotParts());
        }
        subscription.acknowledge(message);
        flush(subscription, nowMillis);
    }

    private void flush(Subscription subscription, long nowMillis) {
        updater.flush(subscription, nowMillis);
        updateSummary(subscription);
    }

    private void heartbeat(Subscription subscription, long nowMillis) {
        SnapshotTransfer transfer = subscription.delivery().transfer();
        if (transfer != null) {
            long transferMillis = nowMillis - transfer.startedAtMillis();
            if (transferMillis > limits.timing().snapshotTimeoutMillis()) {
                String detail = "snapshot: not complete after " + transferMillis + " ms";
                close(subscription, RejectionReason.SLOW, detail, nowMillis);
                return;
            }
        }
        flush(subscription, nowMillis);
        updater.sendHeartbeat(subscription, nowMillis);
        timers.heartbeatSent(subscription, nowMillis);
    }

    private void updateSummary(Subscription subscription) {
        InForceReport report = subscription.report();
        SummaryAggregator.Contribution before =
                report.replaceContribution(subscription.name(), subscription.delivery());
        summaries.replace(before, report.contribution());
    }

    private void reject(
            Subscription subscription,
            RejectionReason reason,
            String detail,
            long retryAfterMillis,
            long nowMillis) {
        transport.send(
                subscription.connection(),
                new DistributionMessage.Rejected(
                        subscription.scopeEpoch(), reason, detail, retryAfterMillis));
        close(subscription, reason, detail, nowMillis);
    }

    private void close(
            Subscription subscription, RejectionReason reason, String detail, long nowMillis) {
        rejections.count(reason);
        remove(subscription, nowMillis);
        transport.close(subscription.connection(), reason, detail);
    }

    private void remove(Subscription subscription, long nowMillis) {
        connections.remove(subscription.connection());
        timers.cancel(subscription);
        if (!subscription.subscribed()) {
            return;
        }
        transfers.abandon(subscription);
        index.remove(subscription);
        byName.remove(subscription.name(), subscription);
        InForceReport report = subscription.report();
        summaries.replace(report.contribution(), SummaryAggregator.Contribution.NOTHING);
        summaries.addLost(
                subscription.name(),
                report.controllersLostIfDisconnected(),
                nowMillis + limits.timing().lostSubscriberRetentionMillis());
    }
}
