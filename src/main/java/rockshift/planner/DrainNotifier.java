package rockshift.planner;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

    /**
     * By proxy number, the replicas that it was sent a notice about which was not withdrawn; a
     * proxy keeps notices across its streams.
     */
    private final Map<Integer, Set<Replica>> notices = new HashMap<>();

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
            return scope == ControlScope.FULL && withdrawNotices(commands, now);
        }
        // Once per turn: later changes wait for the next one.
        if (noticesCheckedAtTicks == now || scope == ControlScope.NONE) {
            return false;
        }
        noticesCheckedAtTicks = now;
        return sendNotices(commands, agreedStateKnown, now);
    }

    /**
     * Withdraws the notices about all replicas that accept new work again and whose notices all
     * proxies may be sent the end of now.
     *
     * @return whether there were any
     */
    private boolean withdrawNotices(ProxyCommands commands, long now) {
        boolean withdrawn = false;
        for (Replica replica : replicas.all()) {
            if (replica.acceptsNewWork() && replica.hasDrainNotice() && mayWithdraw(replica, now)) {
                replica.setDrainNotice(false);
                notices.values().forEach(notified -> notified.remove(replica));
                for (Proxy proxy : proxies.all()) {
                    send(commands, proxy, List.of(replica), false, now);
                }
                withdrawn = true;
            }
        }
        return withdrawn;
    }

    private boolean mayWithdraw(Replica replica, long now) {
        List<Proxy> notified =
                proxies.all().stream().filter(proxy -> noticesOf(proxy).contains(replica)).toList();
        double entries = notified.size() * pacer.shortestMessageEntries();
        return notified.stream().allMatch(proxy -> mayWithdraw(proxy, now))
                && pacer.advanceQueue(now) + entries <= pacer.deferrableQueueLimit();
    }

    /** Returns whether a proxy may be sent the end of a notice, or has no other replica to use. */
    private boolean mayWithdraw(Proxy proxy, long now) {
        return pacer.mayDefer(proxy, now)
                || usesOnlyNotifiedReplicas(proxy) && !pacer.isQuotaSpent(proxy, 1);
    }

    /** Returns whether all entries of one of its tables lead to replicas that it avoids. */
    private boolean usesOnlyNotifiedReplicas(Proxy proxy) {
        return proxy.isBound()
                && proxy.group().tables().stream()
                        .anyMatch(table -> table.leadsOnlyTo(noticesOf(proxy)));
    }

    private Set<Replica> noticesOf(Proxy proxy) {
        return notices.computeIfAbsent(proxy.number(), number -> new HashSet<>());
    }

    /** Forgets the notices about replicas that are no longer known. */
    void forgetGone() {
        notices.values()
                .forEach(
                        notified ->
                                notified.removeIf(
                                        replica -> replicas.get(replica.id()) != replica));
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
            if (draining) {
                noticesOf(proxy).add(replica);
            }
            cost += commands.notifyDraining(replica.id(), draining, proxy.number());
        }
        if (cost > 0) {
            pacer.post(proxy, cost, now);
        }
    }
}
