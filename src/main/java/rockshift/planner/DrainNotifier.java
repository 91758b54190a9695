package rockshift.planner;

import java.util.List;
import rockshift.model.ControlScope;
import rockshift.settings.PlannerSettings;

/**
 * Notifies proxies that wait for their tables of drained and gone replicas, and later that these
 * may be used again.
 *
 * <p>Inputs: entries that wait in the channel and the rate at which it carries them, the drain
 * grace in ticks.
 *
 * <p>Guards against work for drained replicas from proxies that still have the tables they joined
 * with, where the channel is too slow to bind them within the grace. Shows as attempts at replicas
 * that are listed as draining. Holds because a notice is only sent where it is shorter than the
 * tables, while the queue and the proxy's quota have room for it. Replicas that are back may be
 * used again when nobody waits, so that no cold one meets old weights; that loses some of their
 * work.
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

    /** Sends notices, if any are due; whether it did. */
    boolean sendOrWithdrawNotices(ProxyCommands commands, ControlScope scope, long now) {
        if (proxies.waiting().isEmpty()) {
            return scope == ControlScope.FULL && withdrawNextNotice(commands, now);
        }
        // Once a turn: later changes are notified in the next one.
        if (noticesCheckedAtTicks == now || scope == ControlScope.NONE) {
            return false;
        }
        noticesCheckedAtTicks = now;
        return sendNotices(commands, now);
    }

    /** Tells all proxies that one replica that is back may be used again. */
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

    /** Notifies those that would get their tables too late of all replicas that left. */
    private boolean sendNotices(ProxyCommands commands, long now) {
        List<Replica> left =
                replicas.all().stream().filter(replica -> !replica.acceptsNewWork()).toList();
        double overhead = pacer.messageOverheadEntries();
        double entriesAhead = pacer.advanceQueue(now);
        boolean sent = false;
        for (Proxy proxy : proxies.waiting()) {
            double cost = proxy.bindingCost(true);
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
