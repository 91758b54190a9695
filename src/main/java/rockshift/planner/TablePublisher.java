package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import rockshift.model.ControlScope;
import rockshift.model.Ticks;
import rockshift.settings.AdmissionMode;

/**
 * Sends the differences between the published tables and their targets that are large enough, in
 * the order of priority and within a budget of entries.
 *
 * <p>Inputs: target fractions, levels, entries queued in the channel and its rate in entries per
 * tick. Differences are batched for a regular round. What safety requires is sent at once: the
 * removal of a departed replica, and an entry for a table without an allowed one. Other changes of
 * the priority budget are the cut of a slow-starting replica, and an entry that more than doubles
 * in a message that is sent anyway.
 *
 * <p>Guards against a channel filled with changes of little value while drains wait. The symptom is
 * messages in flight and late drains. The guard holds because each kind of change has a budget, and
 * nothing deferrable is sent while a proxy waits that could be bound.
 */
final class TablePublisher {
    /** Proxies retry only after proof that the attempt never ran, which is safe for every class. */
    static final int RETRY_MODE = 1;

    /** Maximum fraction of the channel's rate that changed weights take in a round. */
    private static final double MAX_WEIGHT_RATE_FRACTION = 0.5;

    /** Maximum cost of the commands for changed weights, as a fraction of the goal. */
    private static final double MAX_WEIGHT_COST_FRACTION = 0.03;

    /** Level that refuses nothing where levels are rates, in transactions per second at a proxy. */
    private static final double UNLIMITED_PER_SECOND = 1e6;

    private final double levelUnit;
    private final SlowStart slowStart;
    private final TargetWeights targetWeights;
    private final TableDifferences differences;
    private final ChannelPacer pacer;
    private final ProxyRegistry proxies;

    TablePublisher(
            AdmissionMode admissionMode,
            SlowStart slowStart,
            TargetWeights targetWeights,
            TableDifferences differences,
            ChannelPacer pacer,
            ProxyRegistry proxies) {
        levelUnit = admissionMode == AdmissionMode.RATE_PER_SECOND ? UNLIMITED_PER_SECOND : 1;
        this.slowStart = slowStart;
        this.targetWeights = targetWeights;
        this.differences = differences;
        this.pacer = pacer;
        this.proxies = proxies;
    }

    /**
     * Sends a batch.
     *
     * @param round inputs of the target weights, which are updated here
     * @param regular whether this is a regular round, in which batched changes are sent
     * @param commandPrice price of a fully used channel, as a fraction of the goal
     * @return whether a required change could not be sent
     */
    boolean publish(
            ProxyCommands commands,
            List<ProxyGroup> groups,
            List<RoutingTable> tables,
            TargetWeights.RoundInputs round,
            ControlScope scope,
            boolean regular,
            double commandPrice) {
        long now = round.now();
        boolean joinsPrecede = hasBindableWaiting(now);
        PublishBudget budget =
                openBudget(joinsPrecede, regular ? weightEntriesPerRound(commandPrice) : 0, now);
        List<GroupBatch> batches = openBatches(groups, now);
        Set<RoutingTable> withoutAllowedEntry =
                tables.stream().filter(RoutingTable::hasNoAllowedEntry).collect(Collectors.toSet());
        boolean requiredChangeDeferred = false;
        tables.forEach(table -> targetWeights.updateTargets(table, round));
        for (TableChange change : differences.find(tables)) {
            GroupBatch batch = batches.get(change.table().group().number());
            ChangeUrgency urgency =
                    isRequired(change, withoutAllowedEntry)
                            ? ChangeUrgency.REQUIRED
                            : urgency(change, batch, joinsPrecede, now);
            boolean due = regular || urgency.isInEveryRound();
            if (due && isInScope(urgency, batch, scope)) {
                boolean sent = send(commands, change, urgency, batch, budget);
                requiredChangeDeferred |= !sent && urgency == ChangeUrgency.REQUIRED;
            }
        }
        postMessages(batches, now);
        return requiredChangeDeferred;
    }

    /** Returns whether a change may be made; a table that no proxy has follows the list. */
    private static boolean isInScope(ChangeUrgency urgency, GroupBatch batch, ControlScope scope) {
        boolean permitted = urgency == ChangeUrgency.REQUIRED || batch.boundProxies() == 0;
        return scope == ControlScope.FULL || scope == ControlScope.REMOVALS_ONLY && permitted;
    }

    private PublishBudget openBudget(boolean joinsPrecede, double weightEntries, long now) {
        double queue = pacer.advanceQueue(now);
        return new PublishBudget(
                pacer.priorityQueueLimit() - queue,
                joinsPrecede ? 0 : pacer.deferrableBacklog() - queue,
                weightEntries);
    }

    /**
     * Returns whether a proxy has waited for more than a turn and could be bound; it may hold old
     * entries.
     */
    private boolean hasBindableWaiting(long now) {
        return proxies.waiting().stream()
                .anyMatch(proxy -> proxy.joinedAtTicks() < now && proxy.isBindable());
    }

    private double weightEntriesPerRound(double commandPrice) {
        double rateFraction =
                Math.min(MAX_WEIGHT_RATE_FRACTION, MAX_WEIGHT_COST_FRACTION / commandPrice);
        return rateFraction * pacer.entriesPerTick() * Ticks.TICKS_PER_SECOND;
    }

    private static boolean isRequired(TableChange change, Set<RoutingTable> withoutAllowedEntry) {
        return change instanceof TableChange.Entry entry
                && (entry.isRemoval() || withoutAllowedEntry.contains(entry.table()));
    }

    private ChangeUrgency urgency(
            TableChange change, GroupBatch batch, boolean joinsPrecede, long now) {
        boolean inEveryRound = batch.boundProxies() == 0;
        if (change instanceof TableChange.Entry entry) {
            boolean slowStartingIsCut =
                    entry.isDecrease() && slowStart.isSlowStarting(entry.route().replica(), now);
            // After the largest entry is removed, a slow-starting one would be most of the table
            // for a round.
            boolean doublesInMessage = batch.isStarted() && entry.isMoreThanDoubled();
            if (doublesInMessage || slowStartingIsCut && entry.isMoreThanHalved()) {
                return ChangeUrgency.IMMEDIATE;
            }
            if (slowStartingIsCut && !joinsPrecede) {
                return inEveryRound ? ChangeUrgency.IMMEDIATE : ChangeUrgency.PRIORITIZED;
            }
            inEveryRound |= entry.isNew() && batch.isStarted();
        }
        return inEveryRound ? ChangeUrgency.PIGGYBACKED : ChangeUrgency.BATCHED;
    }

    private List<GroupBatch> openBatches(List<ProxyGroup> groups, long now) {
        List<GroupBatch> batches = new ArrayList<>();
        for (ProxyGroup group : groups) {
            batches.add(new GroupBatch(group, pacer.shortestMessageEntries()));
        }
        pacer.expireMessages(now);
        for (Proxy proxy : proxies.all()) {
            if (proxy.isBound()) {
                batches.get(proxy.group().number()).restrict(pacer.allowance(proxy, now));
            }
        }
        return batches;
    }

    /**
     * Sends a change if there is room for it.
     *
     * @return whether it was sent
     */
    private boolean send(
            ProxyCommands commands,
            TableChange change,
            ChangeUrgency urgency,
            GroupBatch batch,
            PublishBudget budget) {
        double cost = batch.cost();
        boolean hasRoom = budget.covers(cost, change, urgency) && batch.allows(urgency);
        if (cost > 0 && !hasRoom) {
            return false;
        }
        budget.spend(cost, change, urgency);
        batch.add(change.table(), urgency, send(commands, change));
        return true;
    }

    /**
     * Sends a change.
     *
     * @return number of entries sent to each bound proxy for it
     */
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
                    if (batch.hasRequired()) {
                        proxy.sendState().recordRequired(now);
                    }
                }
            }
        }
    }
}
