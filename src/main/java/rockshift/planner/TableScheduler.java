package rockshift.planner;

import java.util.Optional;
import rockshift.model.ClassSet;
import rockshift.model.ControlScope;
import rockshift.settings.PlannerSettings;

/**
 * Binds proxies to the tables of their group: those that wait in the order of joining, never to an
 * empty table.
 *
 * <p>Inputs: entries that wait in the channel, and how long a proxy has waited in ticks. While much
 * waits, a proxy gets one provisional table for all classes, and its own tables once nobody waits.
 *
 * <p>Guards against drains that are queued behind the tables of many joining proxies, and against
 * the last of these getting its tables too late. Shows as messages in flight for seconds after a
 * wave of joins. Holds because joins fill a part of the queue only, more the longer one has waited;
 * and the provisional table is that of the strictest class, so that no class leaves its zone.
 */
final class TableScheduler {
    /** Fraction of the drain grace after which a waiting proxy is as urgent as a drain. */
    private static final double BINDING_DEADLINE_FRACTION = 0.5;

    /** Fraction of the deferrable backlog up to which proxies get all of their tables at once. */
    private static final double SMALL_BACKLOG_FRACTION = 0.5;

    private final double bindingDeadlineTicks;
    private final boolean provisionalIsSafe;
    private final ChannelPacer pacer;
    private final ProxyRegistry proxies;

    TableScheduler(PlannerSettings settings, ChannelPacer pacer, ProxyRegistry proxies) {
        bindingDeadlineTicks = bindingDeadlineTicks(settings);
        // A provisional table sets the retries of one class only: the others retry by default.
        provisionalIsSafe = settings.defaultRetryMode() <= TablePublisher.RETRY_MODE;
        this.pacer = pacer;
        this.proxies = proxies;
    }

    /** Time after joining by which a proxy should have tables; the rest is for a slower channel. */
    static double bindingDeadlineTicks(PlannerSettings settings) {
        return BINDING_DEADLINE_FRACTION * settings.drainGraceTicks();
    }

    /** Binds the next proxy, if there is one and the channel has room; whether it did. */
    boolean bindNextWaiting(ProxyCommands commands, ControlScope scope, long now) {
        for (Proxy proxy : proxies.waiting()) {
            boolean provisional = needsProvisionalTable(proxy, now);
            double cost = proxy.bindingCost(provisional);
            if (scope == ControlScope.NONE
                    || cost == Proxy.NOT_BINDABLE
                    || pacer.isQuotaSpent(proxy, 1)) {
                continue;
            } else if (!hasRoom(proxy, cost, now)) {
                return false;
            }
            proxies.stopWaiting(proxy);
            bind(commands, proxy, provisional, cost, now);
            return true;
        }
        return upgradeNextProvisional(commands, scope, now);
    }

    private boolean needsProvisionalTable(Proxy proxy, long now) {
        return pacer.advanceQueue(now) > SMALL_BACKLOG_FRACTION * pacer.deferrableBacklog()
                && proxy.group() != null
                && proxy.group().provisionalTable().entryCount() > 0
                && provisionalIsSafe;
    }

    /** The longer a proxy waits, the longer the queue may be; at the deadline it is urgent. */
    private boolean hasRoom(Proxy proxy, double cost, long now) {
        double deferrable = pacer.deferrableBacklog();
        double urgency = Math.min(1, (now - proxy.joinedAtTicks()) / bindingDeadlineTicks);
        double startLimit = deferrable + urgency * (pacer.priorityQueueLimit() - deferrable);
        double endLimit = urgency < 1 ? pacer.deferrableQueueLimit() : pacer.priorityQueueLimit();
        double queue = pacer.advanceQueue(now);
        double queueAfter = queue + cost + pacer.messageOverheadEntries() + 1;
        return !(queue > startLimit || queueAfter > endLimit);
    }

    /** Replaces a provisional table while nobody waits and little is queued. */
    private boolean upgradeNextProvisional(ProxyCommands commands, ControlScope scope, long now) {
        boolean calm =
                proxies.waiting().isEmpty()
                        && scope == ControlScope.FULL
                        && pacer.advanceQueue(now)
                                <= SMALL_BACKLOG_FRACTION * pacer.deferrableBacklog();
        if (!calm) {
            return false;
        }
        Optional<Proxy> next =
                proxies.all().stream()
                        .filter(
                                proxy ->
                                        proxy.isProvisional()
                                                && proxy.bindingCost(false) < Proxy.NOT_BINDABLE
                                                && !pacer.isQuotaSpent(
                                                        proxy,
                                                        ChannelPacer.DEFERRABLE_QUOTA_FRACTION))
                        .findFirst();
        next.ifPresent(proxy -> bind(commands, proxy, false, proxy.bindingCost(false), now));
        return next.isPresent();
    }

    private void bind(
            ProxyCommands commands, Proxy proxy, boolean provisional, double cost, long now) {
        double extra = 0;
        ProxyGroup group = proxy.group();
        if (provisional) {
            int table = group.provisionalTable().number();
            extra = commands.bindProxy(table, proxy.number(), ClassSet.all());
        } else {
            for (RoutingTable table : group.tables()) {
                extra += commands.bindProxy(table.number(), proxy.number(), table.classes());
            }
        }
        proxy.bind(provisional);
        pacer.post(proxy, cost + extra, now);
    }
}
