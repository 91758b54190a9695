package rockshift.planner;

import java.util.List;
import rockshift.model.ControlScope;
import rockshift.settings.PlannerSettings;

/**
 * Sends drain notices about drained and gone replicas to proxies that wait for their tables, and
 * withdraws them later, so that the replicas may be used again.
 *
 * <p>Inputs: entries queued in the channel and the rate at which it carries them, the drain grace
 * in ticks.
 *
 * <p>Guards against requests to drained replicas from proxies that still have the tables they
 * joined with, if the channel is too slow to bind them within the grace, or if they keep these
 * tables because it is not known what operators agreed on. The symptom is attempts at replicas that
 * are listed as draining. The guard holds because a notice is only sent if it is shorter than the
 * tables, while the queue and the proxy's quota have room for it. Notices are withdrawn only when
 * no proxy waits, so that no slow-starting replica is used with old weights; until then a replica
 * misses some of its traffic. Withdrawals check neither queue nor quota.
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

    /**
     * Sends or withdraws notices, if any are due.
     *
     * @param agreedStateKnown whether waiting proxies will be bound as soon as there is room
     * @return whether it did
     */
    boolean sendOrWithdrawNotices(
            ProxyCommands commands, ControlScope scope, boolean agreedStateKnown, long now) {
        if (proxies.waiting().isEmpty()) {
            return scope == ControlScope.FULL && withdrawNextNotice(commands, now);
        }
        // Once per turn: later changes wait for the next one.
        if (noticesCheckedAtTicks == now || scope == ControlScope.NONE) {
            return false;
        }
        noticesCheckedAtTicks = now;
        return sendNotices(commands, agreedStateKnown, now);
    }

    /**
     * Withdraws the notice about one replica that accepts new work again, at all proxies.
     *
     * @return whether there was one
     */
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
     * Sends notices about all departed replicas to the proxies that would get their tables too
     * late.
     *
     * @return whether any were sent
     */
    private boolean sendNotices(ProxyCommands commands, boolean agreedStateKnown, long now) {
        List<Replica> departed =
                replicas.all().stream().filter(replica -> !replica.acceptsNewWork()).toList();
        double overhead = pacer.messageOverheadEntries();
        double entriesAhead = pacer.advanceQueue(now);
        boolean sent = false;
        for (Proxy proxy : proxies.waiting()) {
            double cost = proxy.provisionalBindingCost();
            entriesAhead += cost + overhead + 1;
            if (isTooLate(proxy, entriesAhead, now)
                    && proxy.drainNoticesSentAtTicks() < replicas.lastDepartureTicks()
                    && (departed.size() < cost || !agreedStateKnown)
                    && pacer.advanceQueue(now) + departed.size() + overhead + 1
                            <= pacer.priorityQueueLimit()
                    && !pacer.isQuotaSpent(proxy, 1)) {
                proxy.setDrainNoticesSentAtTicks(now);
                send(commands, proxy, departed, true, now);
                sent = true;
            }
        }
        return sent;
    }

    private boolean isTooLate(Proxy proxy, double entriesAhead, long now) {
        long waitingSince = Math.max(proxy.joinedAtTicks(), proxy.drainNoticesSentAtTicks());
        double boundAfterTicks =
                now - waitingSince + entriesAhead / pacer.entriesPerTick() + longestTransitTicks;
        return boundAfterTicks > bindingDeadlineTicks;
    }

    /** Sends a proxy notices about some replicas, or withdraws them, as one message. */
    private void send(
            ProxyCommands commands,
            Proxy proxy,
            List<Replica> subjects,
            boolean draining,
            long now) {
        int cost = 0;
        for (Replica replica : subjects) {
            replica.setDrainNotice(draining);
            cost += commands.notifyDraining(replica.id(), draining, proxy.number());
        }
        if (cost > 0) {
            pacer.post(proxy, cost, now);
        }
    }
}
