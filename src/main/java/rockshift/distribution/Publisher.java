package rockshift.distribution;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * The downstream side of a member or relay: serves subscribers from a store. Connections are
 * numbered by the host. A change costs those whom it concerns; heartbeats are spread over their
 * interval.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time. To read on: {@link
 * SubscriptionAdmission} decides who may subscribe, {@link SubscriptionUpdater} what each
 * subscription is sent, {@link SummaryAggregator} what is in force below.
 */
public final class Publisher {
    /** What the host carries out. Calls into the publisher from within these are not allowed. */
    public interface Transport {
        /** Sends a message, in order. */
        void send(long connection, DistributionMessage message);

        /**
         * Ends a connection once all sent to it is written. No {@link #disconnected} need follow.
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
     * A publisher without subscribers.
     *
     * @param store what it serves; the owner changes it and then calls {@link #published}
     * @param served what the store holds: wider scopes are rejected
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

    /** A connection came up. */
    public void connected(long connection, long nowMillis) {
        if (connections.size() >= limits.admission().maxConnections()) {
            rejectConnection(connection, nowMillis);
            return;
        }
        Subscription subscription = new Subscription(connection, nowMillis);
        connections.put(connection, subscription);
        timers.schedule(subscription);
    }

    /** A connection has ended. Unknown ones are ignored. */
    public void disconnected(long connection, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            forget(subscription, nowMillis);
        }
    }

    /** A message came. Those of connections already closed are ignored. */
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
                        "a publisher takes no " + message.getClass().getSimpleName());
            }
        } catch (RejectionException rejection) {
            reject(subscription, rejection.reason(), rejection.detail(), 0, nowMillis);
        }
    }

    /**
     * The host could not decode a message: counts it, tells the subscriber, ends the connection.
     */
    public void undecodable(
            long connection, RejectionReason reason, String detail, long nowMillis) {
        Subscription subscription = connections.get(connection);
        if (subscription != null) {
            reject(subscription, reason, detail, 0, nowMillis);
        }
    }

    /** The store has changed. To be called after each change, before anything else. */
    public void published(long nowMillis) {
        updater.outdateConcerned(index).forEach(each -> flush(each, nowMillis));
    }

    /**
     * What the store holds was the newest there is at this time; a member says so while it follows
     * a leader, after it has published all that was agreed until then, and else leaves it.
     */
    public void freshAt(long atMillis) {
        updater.freshAt(atMillis);
    }

    /**
     * Does what is due: heartbeats, silent connections, changes that waited. To be called every 50
     * ms or so.
     */
    public void tick(long nowMillis) {
        summaries.expireLost(nowMillis);
        Subscription due = timers.pollDue(nowMillis);
        while (due != null) {
            long silentMillis = nowMillis - due.lastReceivedAtMillis();
            if (silentMillis >= limits.timing().silenceTimeoutMillis()) {
                close(due, RejectionReason.SILENT, silentMillis + " ms", nowMillis);
            } else if (due.heartbeatAtMillis() <= nowMillis) {
                heartbeat(due, nowMillis);
            } else {
                timers.schedule(due);
            }
            due = timers.pollDue(nowMillis);
        }
    }

    /** What is in force below. */
    public Summary summary() {
        return summaries.sum(store.current().number());
    }

    /** How often each reason was given. */
    public Map<RejectionReason, Long> rejectionCounts() {
        return rejections.counts();
    }

    /** Connections open, subscribed or not. */
    public int connections() {
        return connections.size();
    }

    private void rejectConnection(long connection, long nowMillis) {
        rejections.count(RejectionReason.BUSY);
        String detail = "connections: " + connections.size();
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
            SubscriptionAdmission.Deferral later = deferral.get();
            reject(
                    subscription,
                    later.reason(),
                    later.detail(),
                    later.retryAfterMillis(),
                    nowMillis);
            return;
        }
        subscription.received(message.sentMillis(), nowMillis);
        boolean begins = !subscription.subscribed();
        if (begins) {
            replaceEarlier(message.subscriber(), nowMillis);
        } else {
            index.remove(subscription);
            transfers.abandon(subscription);
        }
        subscription.subscribe(message, begins ? summaries.forgetLost(message.subscriber()) : 0);
        byName.put(message.subscriber(), subscription);
        index.add(subscription);
        noticeUnmatched(subscription);
        updater.begin(subscription, message.held(), nowMillis);
        updateSummary(subscription);
        timers.cancel(subscription);
        heartbeat(subscription, nowMillis);
        if (begins) {
            timers.stagger(subscription, nowMillis);
        }
    }

    /**
     * Ends an earlier connection of the same subscriber, which is dead though it is not noticed
     * yet. If it is not, two processes share one name: the earlier is told to stay away for long,
     * so that they do not drive each other out all the time.
     */
    private void replaceEarlier(String name, long nowMillis) {
        Subscription earlier = byName.get(name);
        if (earlier != null) {
            reject(
                    earlier,
                    RejectionReason.REPLACED,
                    "subscriber: " + name,
                    limits.timing().maxBackoffMillis(),
                    nowMillis);
        }
    }

    private void noticeUnmatched(Subscription subscription) {
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
                String detail = "snapshot: " + transferMillis + " ms";
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
        forget(subscription, nowMillis);
        transport.close(subscription.connection(), reason, detail);
    }

    private void forget(Subscription subscription, long nowMillis) {
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
        summaries.rememberLost(
                subscription.name(),
                report.controllersLostIfDisconnected(),
                nowMillis + limits.timing().lostSubscriberRetentionMillis());
    }
}
