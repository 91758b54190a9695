package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import rockshift.model.ControlScope;
import rockshift.model.Ticks;
import rockshift.settings.AdmissionMode;

/**
 * Sends what differs enough between the published tables and their targets, in the order of
 * priority and within a budget of entries.
 *
 * <p>Inputs: target fractions, levels, entries that wait in the channel and its rate in entries a
 * tick. Differences are gathered; what is owed goes at once: a replica that left comes out, and a
 * table without a usable entry gets one. Other urgent changes are a cold replica's cut, and an
 * entry that more than doubles in a message that goes anyway.
 *
 * <p>Guards against a channel filled by changes that are worth little while drains wait. Shows as
 * messages in flight and late drains. Holds because each kind of change has a budget, and nothing
 * deferrable goes while a proxy waits that could be bound.
 */
final class TablePublisher {
    /** Proxies retry only after proof that the attempt never ran: safe for every class. */
    static final int RETRY_MODE = 1;

    /** Fraction of the channel's rate that changed weights may take in a round. */
    private static final double MAX_WEIGHT_RATE_FRACTION = 0.5;

    /** Fraction of the goal that changed weights may cost in commands. */
    private static final double WEIGHT_CHANGES_WORTH_FRACTION = 0.03;

    /** Transactions a second at a proxy: the level that refuses none, where levels are rates. */
    private static final double UNLIMITED_PER_SECOND = 1e6;

    private final double levelUnit;
    private final SlowStart slowStart;
    private final TableDifferences differences;
    private final ChannelPacer pacer;
    private final ProxyRegistry proxies;

    TablePublisher(
            AdmissionMode admissionMode,
            SlowStart slowStart,
            TableDifferences differences,
            ChannelPacer pacer,
            ProxyRegistry proxies) {
        levelUnit = admissionMode == AdmissionMode.RATE_PER_SECOND ? UNLIMITED_PER_SECOND : 1;
        this.slowStart = slowStart;
        this.differences = differences;
        this.pacer = pacer;
        this.proxies = proxies;
    }

    /**
     * Entries that a batch may send.
     *
     * @param urgent for all, as long as urgent changes go
     * @param deferrable for all, as long as deferrable changes go
     * @param weights for changed weights that are not urgent
     */
    private record Budget(double urgent, double deferrable, double weights) {
        double forChange(Urgency urgency, boolean changesWeight) {
            if (urgency.isUrgent()) {
                return urgent;
            }
            return changesWeight ? Math.min(weights, deferrable) : deferrable;
        }

        Budget without(double cost, boolean fromWeights) {
            return new Budget(
                    urgent - cost, deferrable - cost, fromWeights ? weights - cost : weights);
        }
    }

    /** How pressing a change is. */
    private enum Urgency {
        /** Safety requires it, also while the controller is cut off from others. */
        OWED,
        /** It goes in any round, within the urgent budget. */
        AT_ONCE,
        /** It goes in regular rounds, within the urgent budget. */
        GATHERED_URGENT,
        /** It goes in any round, within the deferrable budget. */
        RIDES_ALONG,
        /** It goes in regular rounds, within the deferrable budget. */
        GATHERED;

        boolean isUrgent() {
            return this == OWED || this == AT_ONCE || this == GATHERED_URGENT;
        }

        boolean goesNow(boolean regularRound) {
            return regularRound || this != GATHERED_URGENT && this != GATHERED;
        }
    }

    /**
     * Sends a batch.
     *
     * @param round inputs of the target weights
     * @param regular whether it is a regular round, in which gathered changes are sent
     * @param commandPrice price of a fully used channel, as a fraction of the goal
     * @return whether something owed could not be sent
     */
    boolean publish(
            ProxyCommands commands,
            List<ProxyGroup> groups,
            List<RoutingTable> tables,
            TargetWeights.Round round,
            ControlScope scope,
            boolean regular,
            double commandPrice) {
        long now = round.now();
        double queue = pacer.queue(now);
        boolean joinsFirst = hasBindableWaiting(now);
        Budget budget =
                new Budget(
                        pacer.urgentQueueLimit() - queue,
                        joinsFirst ? 0 : pacer.deferrableBacklog() - queue,
                        regular ? weightEntriesPerRound(commandPrice) : 0);
        List<GroupBatch> batches = openBatches(groups, now);
        Set<RoutingTable> withoutEntry =
                tables.stream().filter(RoutingTable::hasNoUsableEntry).collect(Collectors.toSet());
        boolean owedIsHeld = false;
        for (TableChange change : differences.find(tables, round)) {
            GroupBatch batch = batches.get(change.table().group().number());
            boolean owed = isOwed(change, withoutEntry);
            Urgency urgency = owed ? Urgency.OWED : urgency(change, batch, joinsFirst, now);
            if (!mayChange(scope, owed) || !urgency.goesNow(regular)) {
                continue;
            }
            boolean changesWeight = change instanceof TableChange.Entry entry && !entry.isNew();
            double cost = batch.cost();
            if (cost > 0
                    && (cost > budget.forChange(urgency, changesWeight)
                            || !batch.allows(urgency.isUrgent()))) {
                owedIsHeld |= owed;
                continue;
            }
            budget = budget.without(cost, changesWeight && !urgency.isUrgent());
            batch.add(change.table(), send(commands, change));
        }
        postMessages(batches, now);
        return owedIsHeld;
    }

    private static boolean mayChange(ControlScope scope, boolean owed) {
        return scope == ControlScope.FULL || scope == ControlScope.REMOVALS_ONLY && owed;
    }

    /**
     * Whether a proxy has waited for more than a turn, and could be bound: it may hold old entries.
     */
    private boolean hasBindableWaiting(long now) {
        return proxies.waiting().stream()
                .anyMatch(
                        proxy ->
                                proxy.joinedAtTicks() < now
                                        && proxy.bindingCost(true) < Proxy.NOT_BINDABLE);
    }

    private double weightEntriesPerRound(double commandPrice) {
        double rateFraction =
                Math.min(MAX_WEIGHT_RATE_FRACTION, WEIGHT_CHANGES_WORTH_FRACTION / commandPrice);
        return rateFraction * pacer.entriesPerTick() * Ticks.TICKS_PER_SECOND;
    }

    // ---- how pressing a change is --------------------------------------------------------------

    private static boolean isOwed(TableChange change, Set<RoutingTable> withoutEntry) {
        return change instanceof TableChange.Entry entry
                && (entry.isRemoval() || withoutEntry.contains(entry.table()));
    }

    private Urgency urgency(TableChange change, GroupBatch batch, boolean joinsFirst, long now) {
        boolean inEveryRound = batch.boundProxies() == 0;
        if (change instanceof TableChange.Entry entry) {
            boolean coldIsCut =
                    entry.isDecrease() && slowStart.isCold(entry.route().replica(), now);
            // After the largest entry left, a cold one would be most of the rest for a round.
            boolean doublesInMessage = batch.isStarted() && entry.isMoreThanDoubled();
            if (doublesInMessage || coldIsCut && entry.isMoreThanHalved()) {
                return Urgency.AT_ONCE;
            }
            if (coldIsCut && !joinsFirst) {
                return inEveryRound ? Urgency.AT_ONCE : Urgency.GATHERED_URGENT;
            }
            inEveryRound |= entry.isNew() && batch.isStarted();
        }
        return inEveryRound ? Urgency.RIDES_ALONG : Urgency.GATHERED;
    }

    // ---- messages ------------------------------------------------------------------------------

    private List<GroupBatch> openBatches(List<ProxyGroup> groups, long now) {
        List<GroupBatch> batches = new ArrayList<>();
        for (ProxyGroup group : groups) {
            batches.add(new GroupBatch(group, pacer.messageOverheadEntries()));
        }
        pacer.expireMessages(now);
        for (Proxy proxy : proxies.all()) {
            if (proxy.isBound()) {
                batches.get(proxy.group().number()).restrict(pacer.allowance(proxy, now));
            }
        }
        return batches;
    }

    /** Sends a change; answers how many entries each bound proxy is sent for it. */
    private int send(ProxyCommands commands, TableChange change) {
        RoutingTable table = change.table();
        if (change instanceof TableChange.Entry entry) {
            entry.route().setPublishedWeight(entry.weight());
            long replica = entry.route().replica().id();
            return commands.setTableEntry(table.number(), replica, entry.weight());
        }
        double level = ((TableChange.Level) change).level();
        table.setPublishedLevel(level);
        commands.setAdmissionLevel(table.number(), table.classes(), level * levelUnit, RETRY_MODE);
        return 1;
    }

    private void postMessages(List<GroupBatch> batches, long now) {
        for (Proxy proxy : proxies.all()) {
            if (proxy.isBound()) {
                GroupBatch batch = batches.get(proxy.group().number());
                double entries = batch.entriesFor(proxy);
                if (entries > 0) {
                    pacer.post(proxy, entries, now);
                }
            }
        }
    }
}
