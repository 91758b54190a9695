package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Limits how much may be queued in the channel to the proxies, and what a proxy may be sent now.
 *
 * <p>The unit of cost in the channel is the entry: what one row of a routing table takes. Bindings,
 * levels and notices are counted in entries as well.
 *
 * <p>Inputs: entries posted for each proxy, acknowledgements, and time in ticks. The queue length
 * is the maximum of two estimates: what the channel has not carried yet at its usual rate, and what
 * was written since the newest message that any proxy acknowledged, less what is in transit.
 *
 * <p>Guards against a drain that waits behind other messages until its grace is over, and against
 * messages above a proxy's quota, which are dropped. The symptom is late drains with messages in
 * flight. The guard holds because deferrable entries only fill a part of the queue and of the
 * quota, other priority messages leave a part of the quota to required ones, and required ones wait
 * for each other only; and because unacknowledged entries count if the channel is slower than its
 * usual rate.
 */
final class ChannelPacer {
    /** Changes that a proxy's quota allows at present. */
    enum Allowance {
        /** Any change. */
        ANY,
        /** Changes of the priority budget, see {@link ChangeUrgency#usesPriorityBudget}. */
        PRIORITY_ONLY,
        /** Changes that safety requires, see {@link ChangeUrgency#REQUIRED}. */
        REQUIRED_ONLY,
        /** No change until older messages leave the quota window or the spacing has passed. */
        NONE
    }

    /**
     * Fraction of the quota that is open to deferrable changes; priority messages are spaced over
     * the rest.
     */
    static final double DEFERRABLE_QUOTA_FRACTION = 0.6;

    /** Fraction of the quota that is open to changes that safety does not require. */
    private static final double PRIORITY_QUOTA_FRACTION = 0.8;

    /** Fraction of the queue limit that deferrable entries may fill. */
    private static final double DEFERRABLE_QUEUE_FRACTION = 0.5;

    /**
     * Fraction of the queue limit that priority entries may fill; the rest is a reserve for a slow
     * channel.
     */
    private static final double PRIORITY_QUEUE_FRACTION = 0.6;

    /**
     * Time for which deferrable entries may occupy the channel, as a fraction of the drain grace.
     */
    private static final double DEFERRABLE_GRACE_FRACTION = 0.2;

    /** Time after which a message without an acknowledgement no longer counts as in flight. */
    private static final long IN_FLIGHT_TIMEOUT_TICKS = 60 * Ticks.TICKS_PER_SECOND;

    private static final int LAST_SERIAL = 65_535;

    private final double messageOverheadEntries;
    private final double entriesPerTick;
    private final double queueLimitEntries;
    private final double drainGraceTicks;
    private final double messageQuota;
    private final double quotaWindowTicks;
    private final double transitTicks;
    private final Collection<Proxy> proxies;
    private final List<Proxy> writtenThisTurn = new ArrayList<>();
    private double uncarriedEntries;
    private double unacknowledgedEntries;
    private long queueUpdatedAtTicks;
    private int serial;

    /**
     * Creates a pacer for an empty channel.
     *
     * @param proxies live view of the proxies that the channel leads to
     */
    ChannelPacer(PlannerSettings settings, Collection<Proxy> proxies, long now) {
        messageOverheadEntries = settings.messageOverheadEntries();
        entriesPerTick = settings.channelEntriesPerSecond() / Ticks.TICKS_PER_SECOND;
        queueLimitEntries = settings.channelQueueLimitEntries();
        drainGraceTicks = settings.drainGraceTicks();
        messageQuota = quotaWithoutExtraMessages(settings);
        quotaWindowTicks = settings.messageQuotaWindowTicks();
        transitTicks = settings.transitTicks();
        this.proxies = proxies;
        queueUpdatedAtTicks = now;
    }

    /**
     * Returns the number of messages in the quota window from which a proxy is sent no more: the
     * quota less the extra messages that one turn may take; 0 if there is no quota.
     */
    private static double quotaWithoutExtraMessages(PlannerSettings settings) {
        int classCount = settings.sharded() ? 0 : settings.classes().size();
        int extraMessages = Math.max(0, classCount - 1) / ProxyCommands.MAX_PARTS_PER_MESSAGE;
        double quota = settings.messageQuota();
        return quota > 0 ? Math.max(1, quota - extraMessages) : 0;
    }

    /**
     * Advances the queue to the present, once per tick: subtracts what the channel has carried
     * since, and discards unacknowledged messages that are too old to count as in flight.
     *
     * <p>Messages leave in the order in which they were written. So a message written before one
     * that any proxy acknowledged is no longer queued, even if its own proxy acknowledges nothing.
     *
     * @return number of queued entries
     */
    double advanceQueue(long now) {
        if (now != queueUpdatedAtTicks) {
            double carried = (now - queueUpdatedAtTicks) * entriesPerTick;
            uncarriedEntries = Math.max(0, uncarriedEntries - carried);
            queueUpdatedAtTicks = now;
            countUnacknowledged(now);
        }
        return Math.max(uncarriedEntries, unacknowledgedEntries - transitTicks * entriesPerTick);
    }

    private void countUnacknowledged(long now) {
        unacknowledgedEntries = 0;
        long lastAcknowledgedWriteTicks =
                proxies.stream()
                        .mapToLong(proxy -> proxy.sendState().acknowledgedWriteTicks())
                        .max()
                        .orElse(0);
        for (Proxy proxy : proxies) {
            proxy.sendState().expireInFlight(now - IN_FLIGHT_TIMEOUT_TICKS);
            unacknowledgedEntries +=
                    proxy.sendState().entriesInFlightSince(lastAcknowledgedWriteTicks);
        }
    }

    /**
     * Returns the queue length up to which deferrable entries may be added: at least one message to
     * each proxy, unless that exceeds {@link #deferrableQueueLimit}.
     */
    double deferrableBacklog() {
        double usual =
                Math.max(
                        DEFERRABLE_GRACE_FRACTION * drainGraceTicks * entriesPerTick,
                        proxies.size() * shortestMessageEntries());
        return Math.min(deferrableQueueLimit(), usual);
    }

    /** Maximum queue length after deferrable entries were added. */
    double deferrableQueueLimit() {
        return queueLimitEntries * DEFERRABLE_QUEUE_FRACTION;
    }

    /** Maximum queue length after priority entries were added. */
    double priorityQueueLimit() {
        return queueLimitEntries * PRIORITY_QUEUE_FRACTION;
    }

    double entriesPerTick() {
        return entriesPerTick;
    }

    /**
     * Entries of a message besides its content; the first message of a turn also has a serial
     * number.
     */
    double messageOverheadEntries() {
        return messageOverheadEntries;
    }

    /** Entries of a message with one table entry, including overhead and serial number. */
    double shortestMessageEntries() {
        return messageOverheadEntries + 2;
    }

    /** Whether a proxy has been sent at least a fraction of its message quota. */
    boolean isQuotaSpent(Proxy proxy, double fraction) {
        return messageQuota > 0 && proxy.sendState().messageCount() >= messageQuota * fraction;
    }

    /** Discards messages that have left the quota window. */
    void expireMessages(long now) {
        for (Proxy proxy : proxies) {
            proxy.sendState().expireMessages(now - quotaWindowTicks);
        }
    }

    /**
     * Returns what a proxy may be sent now. Deferrable changes use the first part of the quota.
     * Over the rest, messages are spaced evenly: required ones from each other, so that no other
     * message delays them, and other priority messages from all messages, of which the last part of
     * the quota is kept free.
     */
    Allowance allowance(Proxy proxy, long now) {
        ProxySendState sendState = proxy.sendState();
        double deferrable = Math.floor(messageQuota * DEFERRABLE_QUOTA_FRACTION);
        if (messageQuota <= 0 || sendState.messageCount() < deferrable) {
            return Allowance.ANY;
        }
        double spacingTicks = quotaWindowTicks / (messageQuota - deferrable);
        if (sendState.messageCount() >= messageQuota
                || now - sendState.lastRequiredAtTicks() < spacingTicks) {
            return Allowance.NONE;
        }
        boolean mayBePriority =
                sendState.messageCount() < messageQuota * PRIORITY_QUOTA_FRACTION
                        && now - sendState.lastMessageAtTicks() >= spacingTicks;
        return mayBePriority ? Allowance.PRIORITY_ONLY : Allowance.REQUIRED_ONLY;
    }

    /**
     * Returns whether a proxy may be sent something that can wait, in this turn's message or in one
     * of its own, which follows the previous one at an interval of regular rounds.
     */
    boolean mayDefer(Proxy proxy, long now) {
        ProxySendState sendState = proxy.sendState();
        if (messageQuota <= 0 || sendState.entriesThisTurn() > 0) {
            return true;
        }
        sendState.expireMessages(now - quotaWindowTicks);
        return allowance(proxy, now) == Allowance.ANY
                && now - sendState.lastMessageAtTicks() >= Planner.ROUND_INTERVAL_TICKS;
    }

    /**
     * Adds entries to this turn's message to a proxy; the first entries also add the message
     * overhead.
     */
    void post(Proxy proxy, double entries, long now) {
        ProxySendState sendState = proxy.sendState();
        double withOverhead = entries;
        if (sendState.entriesThisTurn() == 0) {
            sendState.countMessage(now);
            writtenThisTurn.add(proxy);
            withOverhead = entries + (messageOverheadEntries + 1);
        }
        countEntries(sendState, withOverhead);
    }

    /**
     * Closes the turn's messages under one serial number.
     *
     * @return whether there were any
     */
    boolean closeTurn(ProxyCommands commands, long now) {
        if (writtenThisTurn.isEmpty()) {
            return false;
        }
        serial = serial % LAST_SERIAL + 1;
        for (Proxy proxy : writtenThisTurn) {
            ProxySendState sendState = proxy.sendState();
            for (int extra = commands.messageCount(proxy.number()) - 1; extra > 0; extra--) {
                sendState.countMessage(now);
                countEntries(sendState, messageOverheadEntries);
            }
            sendState.closeMessage(serial, now);
        }
        writtenThisTurn.clear();
        commands.requestAcknowledgement(serial);
        return true;
    }

    private void countEntries(ProxySendState sendState, double entries) {
        sendState.addEntries(entries);
        uncarriedEntries += entries;
        unacknowledgedEntries += entries;
    }
}
