package rockshift.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Says how much may still be queued on the way to the proxies, and what a proxy may be sent now.
 *
 * <p>The channel's unit of cost is the entry: what one row of a routing table takes. Bindings,
 * levels and notices are counted in it as well.
 *
 * <p>Inputs: entries posted for each proxy, acknowledgements, and time in ticks. The queue is what
 * the channel's usual rate has not carried yet, or what no proxy has acknowledged but for what is
 * in transit, whichever is more.
 *
 * <p>Guards against a drain that is queued behind entries that could wait until its grace is over,
 * and against messages above a proxy's quota, which it drops. Shows as late drains with messages in
 * flight. Holds because deferrable entries only ever fill a part of the queue and of the quota, and
 * because unacknowledged entries count where the channel is slower than its usual rate.
 */
final class ChannelPacer {
    /** What a proxy's quota leaves at present. */
    enum Allowance {
        /** Any change. */
        ANY,
        /** Changes of the priority budget, see {@link ChangeUrgency#usesPriorityBudget}. */
        PRIORITY_ONLY,
        /** No change until older messages leave the window, or the spacing has passed. */
        NONE
    }

    /**
     * Fraction of the quota open to deferrable changes; messages with priority are spaced over the
     * rest.
     */
    static final double DEFERRABLE_QUOTA_FRACTION = 0.6;

    /** Fraction of the queue limit that deferrable entries may fill. */
    private static final double DEFERRABLE_QUEUE_FRACTION = 0.5;

    /**
     * Fraction of the queue limit that priority entries may fill; the rest is for a slow channel.
     */
    private static final double PRIORITY_QUEUE_FRACTION = 0.6;

    /** Fraction of the drain grace that deferrable entries may take of the channel. */
    private static final double DEFERRABLE_GRACE_FRACTION = 0.2;

    /** For how long a message without an acknowledgement counts as in flight. */
    private static final long IN_FLIGHT_MEMORY_TICKS = 60 * Ticks.TICKS_PER_SECOND;

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
     * An empty channel.
     *
     * @param proxies a live view of the proxies that it leads to
     */
    ChannelPacer(PlannerSettings settings, Collection<Proxy> proxies, long now) {
        messageOverheadEntries = settings.messageOverheadEntries();
        entriesPerTick = settings.channelEntriesPerSecond() / Ticks.TICKS_PER_SECOND;
        queueLimitEntries = settings.channelQueueLimitEntries();
        drainGraceTicks = settings.drainGraceTicks();
        messageQuota = turnQuota(settings);
        quotaWindowTicks = settings.messageQuotaWindowTicks();
        transitTicks = settings.transitTicks();
        this.proxies = proxies;
        queueUpdatedAtTicks = now;
    }

    /** Turns in which a proxy may be sent something, as one turn may take several messages. */
    private static double turnQuota(PlannerSettings settings) {
        int classCount = settings.sharded() ? 0 : settings.classes().size();
        int furtherMessages = Math.max(0, classCount - 1) / ProxyCommands.MAX_PARTS_PER_MESSAGE;
        double quota = settings.messageQuota();
        return quota > 0 ? Math.max(1, quota - furtherMessages) : 0;
    }

    // ---- the queue -----------------------------------------------------------------------------

    /**
     * Advances the queue to the present, once for each tick, and answers how many entries wait.
     * Takes off what the channel has carried since, and forgets unacknowledged messages that are
     * too old to count as in flight.
     *
     * <p>Messages leave in the order in which they were written, so none written before one that
     * any proxy acknowledged still waits, however silent its own proxy is.
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
        long leftUntil =
                proxies.stream()
                        .mapToLong(proxy -> proxy.sendState().acknowledgedWriteTicks())
                        .max()
                        .orElse(0);
        for (Proxy proxy : proxies) {
            proxy.sendState().expireInFlight(now - IN_FLIGHT_MEMORY_TICKS);
            unacknowledgedEntries += proxy.sendState().entriesInFlightSince(leftUntil);
        }
    }

    /**
     * Entries that may wait before deferrable ones; one message to each proxy may always be sent.
     */
    double deferrableBacklog() {
        double usual =
                Math.max(
                        DEFERRABLE_GRACE_FRACTION * drainGraceTicks * entriesPerTick,
                        proxies.size() * shortestMessageEntries());
        return Math.min(deferrableQueueLimit(), usual);
    }

    /** The most that may wait once deferrable entries are added. */
    double deferrableQueueLimit() {
        return queueLimitEntries * DEFERRABLE_QUEUE_FRACTION;
    }

    /** The most that may wait once priority entries are added. */
    double priorityQueueLimit() {
        return queueLimitEntries * PRIORITY_QUEUE_FRACTION;
    }

    double entriesPerTick() {
        return entriesPerTick;
    }

    /** Entries that a message takes beside its own; a turn's first one also has a serial number. */
    double messageOverheadEntries() {
        return messageOverheadEntries;
    }

    /** Entries that a message of one table entry takes, with overhead and serial number. */
    double shortestMessageEntries() {
        return messageOverheadEntries + 2;
    }

    // ---- quota ---------------------------------------------------------------------------------

    /** Whether a proxy has had a fraction of the messages that it may be sent in a window. */
    boolean isQuotaSpent(Proxy proxy, double fraction) {
        return messageQuota > 0 && proxy.sendState().messageCount() >= messageQuota * fraction;
    }

    /** Forgets messages that the quota's window has passed. */
    void expireMessages(long now) {
        for (Proxy proxy : proxies) {
            proxy.sendState().expireMessages(now - quotaWindowTicks);
        }
    }

    /**
     * What a proxy may be sent now. Deferrable changes use the first part of the quota; messages
     * with priority are spaced evenly over the rest.
     */
    Allowance allowance(Proxy proxy, long now) {
        ProxySendState sendState = proxy.sendState();
        double deferrable = Math.floor(messageQuota * DEFERRABLE_QUOTA_FRACTION);
        if (messageQuota <= 0 || sendState.messageCount() < deferrable) {
            return Allowance.ANY;
        }
        double spacingTicks = quotaWindowTicks / (messageQuota - deferrable);
        return sendState.messageCount() >= messageQuota
                        || now - sendState.lastMessageAtTicks() < spacingTicks
                ? Allowance.NONE
                : Allowance.PRIORITY_ONLY;
    }

    // ---- messages ------------------------------------------------------------------------------

    /**
     * Counts entries of this turn's message to a proxy; the first ones add the message overhead.
     */
    void post(Proxy proxy, double entries, long now) {
        ProxySendState sendState = proxy.sendState();
        double withOverhead = entries;
        if (sendState.entriesThisTurn() == 0) {
            sendState.countMessage(now);
            writtenThisTurn.add(proxy);
            withOverhead = entries + (messageOverheadEntries + 1);
        }
        count(sendState, withOverhead);
    }

    /** Closes the turn's messages under one serial number; false where there is none. */
    boolean closeTurn(ProxyCommands commands, long now) {
        if (writtenThisTurn.isEmpty()) {
            return false;
        }
        serial = serial % LAST_SERIAL + 1;
        for (Proxy proxy : writtenThisTurn) {
            ProxySendState sendState = proxy.sendState();
            for (int further = commands.messageCount(proxy.number()) - 1; further > 0; further--) {
                sendState.countMessage(now);
                count(sendState, messageOverheadEntries);
            }
            sendState.closeMessage(serial, now);
        }
        writtenThisTurn.clear();
        commands.requestAcknowledgement(serial);
        return true;
    }

    private void count(ProxySendState sendState, double entries) {
        sendState.addEntries(entries);
        uncarriedEntries += entries;
        unacknowledgedEntries += entries;
    }
}
