package rockshift.planner;

import java.util.List;
import rockshift.model.ControlScope;
import rockshift.settings.PlannerSettings;

/**
 * Sends drain notices of drained and gone replicas to proxies that wait for their tables, and later
 * withdraws them: the replicas may be used again.
 *
 * <p>Inputs: entries that wait in the channel and the rate at which it carries them, the drain
 * grace in ticks.
 *
 * <p>Guards against work for drained replicas from proxies that still have the tables they joined
 * with, where the channel is too slow to bind them within the grace. Shows as attempts at replicas
 * that are listed as draining. Holds because a notice is only sent where it is shorter than the
 * tables, while the queue and the proxy's quota have room for it. Notices are withdrawn only when
 * nobody waits, so that no slow-starting replica meets old weights; until then it goes without some
 * of its work. Withdrawals check neither queue nor quota.
 */
final class DrainNotifier {
    private final double longestTransitTicks;
    private final double bindingDeadlineTicks;
    private final ChannelPacer pacer;
    private final ReplicaRegistry replicas;
    private final ProxyRegistry proxies;
    private long noticesCheckedAtTicks;

    DrainNotifier(
            PlannerSettings settings,
            ChannelPacer pacer,
            ReplicaRegistry replicas,
            ProxyRegistry proxies) {
        longestTransitTicks = settings.longestTransitTicks();
        bindingDeadlineTicks = TableScheduler.bindingDeadlineTicks(settings);
        this.pacer = pacer;
        this.replicas = replicas;
        this.proxies = proxies;
    }

    /** Sends or withdraws notices, if any are due; whether it did. */
    boolean sendOrWithdrawNotices(ProxyCommands commands, ControlScope scope, long now) {
        if (proxies.waiting().isEmpty()) {
            return scope == ControlScope.FULL && withdrawNextNotice(commands, now);
        }
        // Once a turn: later changes are for the next one.
        if (noticesCheckedAtTicks == now || scope == ControlScope.NONE) {
            return false;
        }
        noticesCheckedAtTicks = now;
        return sendNotices(commands, now);
    }

    /** Withdraws the notice of one replica that accepts new work again, at all proxies. */
    private boolean withdrawNextNotice(ProxyCommands commands, long now) {
        for (Replica replica : replicas.all()) {
            if (replica.acceptsNewWork() && replica.hasDrainNotice()) {
                replica.setDrainNotice(false);
                for (Proxy proxy : proxies.all()) {
                    send(commands, proxy, List.of(replica), false, now);
                }
                return true;
            }
        }
        return false;
    }

    /**
     * Sends notices of all replicas that left to the proxies that would get their tables too late.
     */
    private boolean sendNotices(ProxyCommands commands, long now) {
        List<Replica> left =
                replicas.all().stream().filter(replica -> !replica.acceptsNewWork()).toList();
        double overhead = pacer.messageOverheadEntries();
        double entriesAhead = pacer.advanceQueue(now);
        boolean sent = false;
        for (Proxy proxy : proxies.waiting()) {
            double cost = proxy.provisionalBindingCost();
            entriesAhead += cost + overhead + 1;
            if (isTooLate(proxy, entriesAhead, now)
                    && proxy.drainNoticesSentAtTicks() < replicas.lastDepartureTicks()
                    && left.size() < cost
                    && pacer.advanceQueue(now) + left.size() + overhead + 1
                            <= pacer.priorityQueueLimit()
                    && !pacer.isQuotaSpent(proxy, 1)) {
                proxy.setDrainNoticesSentAtTicks(now);
                send(commands, proxy, left, true, now);
                sent = true;
            }
        }
        return sent;
    }

    private boolean isTooLate(Proxy proxy, double entriesAhead, long now) {
        long waitsSince = Math.max(proxy.joinedAtTicks(), proxy.drainNoticesSentAtTicks());
        double boundAfterTicks =
                now - waitsSince + entriesAhead / pacer.entriesPerTick() + longestTransitTicks;
        return boundAfterTicks > bindingDeadlineTicks;
    }

    /** Sends a proxy notices of some replicas, or withdraws these, as one message. */
    private void send(
            ProxyCommands commands, Proxy proxy, List<Replica> about, boolean draining, long now) {
        int cost = 0;
        for (Replica replica : about) {
            replica.setDrainNotice(draining);
            cost += commands.notifyDraining(replica.id(), draining, proxy.number());
        }
        if (cost > 0) {
            pacer.post(proxy, cost, now);
        }
    }
}
