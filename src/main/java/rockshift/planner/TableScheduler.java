package rockshift.planner;

import java.util.Optional;
import rockshift.model.ClassSet;
import rockshift.model.ControlScope;
import rockshift.settings.PlannerSettings;

/**
 * Binds proxies to the tables of their group, unless all of these are empty. Waiting proxies are
 * bound in the order of joining, those with a provisional table in the order of their numbers.
 *
 * <p>Inputs: entries queued in the channel, and the time in ticks that a proxy has waited. While
 * the queue is long, a proxy gets one provisional table for all classes, and its own tables once no
 * proxy waits.
 *
 * <p>Guards against drains that are queued behind the tables of many joining proxies, and against
 * the last of these getting its tables too late. The symptom is messages in flight for seconds
 * after many joins. The guard holds because joins only fill a part of the queue, which grows with
 * the time that a proxy has waited. The provisional table is that of the strictest class, so that
 * no class leaves its zone.
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
    private final KeptTablePolicy keptTablePolicy;

    TableScheduler(
            PlannerSettings settings,
            ChannelPacer pacer,
            ProxyRegistry proxies,
            KeptTablePolicy keptTablePolicy) {
        bindingDeadlineTicks = bindingDeadlineTicks(settings);
        // A provisional table sets the retry mode of one class only; the others use the default.
        provisionalIsSafe = settings.defaultRetryMode() <= TablePublisher.RETRY_MODE;
        this.pacer = pacer;
        this.proxies = proxies;
        this.keptTablePolicy = keptTablePolicy;
    }

    /**
     * Returns the time after joining by which a proxy should have tables; the rest of the grace is
     * a reserve for a slower channel.
     */
    static double bindingDeadlineTicks(PlannerSettings settings) {
        return BINDING_DEADLINE_FRACTION * settings.drainGraceTicks();
    }

    /**
     * Binds the first waiting proxy that can be bound, in the order of joining, if the channel has
     * room for it.
     *
     * @param agreedStateKnown whether the tables follow what operators agreed on; if not, only
     *     proxies are bound that may have no replica to use
     * @return whether a proxy was bound
     */
    boolean bindNextWaiting(
            ProxyCommands commands, ControlScope scope, boolean agreedStateKnown, long now) {
        for (Proxy proxy : proxies.waiting()) {
            boolean provisional = needsProvisionalTable(proxy, now);
            double cost = provisional ? proxy.provisionalBindingCost() : proxy.bindingCost();
            if (scope == ControlScope.NONE
                    || !proxy.isBindable()
                    || pacer.isQuotaSpent(proxy, 1)
                    || !agreedStateKnown && !keptTablePolicy.mustBind(proxy, now)) {
                continue;
            } else if (!hasRoom(proxy, cost, now)) {
                return false;
            }
            proxies.stopWaiting(proxy);
            if (provisional) {
                bindToProvisionalTable(commands, proxy, now);
            } else {
                bindToTables(commands, proxy, now);
            }
            return true;
        }
        return false;
    }

    private boolean needsProvisionalTable(Proxy proxy, long now) {
        return pacer.advanceQueue(now) > SMALL_BACKLOG_FRACTION * pacer.deferrableBacklog()
                && proxy.group() != null
                && proxy.group().provisionalTable().entryCount() > 0
                && provisionalIsSafe;
    }

    /**
     * Returns whether the queue has room for a proxy. The longer the proxy waits, the longer the
     * queue may be; at the deadline the proxy has priority.
     */
    private boolean hasRoom(Proxy proxy, double cost, long now) {
        double deferrable = pacer.deferrableBacklog();
        double waitedFraction = Math.min(1, (now - proxy.joinedAtTicks()) / bindingDeadlineTicks);
        double startLimit = deferrable + waitedFraction * (pacer.priorityQueueLimit() - deferrable);
        double endLimit =
                waitedFraction < 1 ? pacer.deferrableQueueLimit() : pacer.priorityQueueLimit();
        double queue = pacer.advanceQueue(now);
        double queueAfter = queue + cost + pacer.messageOverheadEntries() + 1;
        return !(queue > startLimit || queueAfter > endLimit);
    }

    /**
     * Replaces the provisional table of one proxy by the tables of its group, if no proxy waits and
     * the queue is short. The proxy with the lowest number is first.
     *
     * @return whether a table was replaced
     */
    boolean upgradeNextProvisional(ProxyCommands commands, ControlScope scope, long now) {
        boolean mayUpgrade =
                proxies.waiting().isEmpty()
                        && scope == ControlScope.FULL
                        && pacer.advanceQueue(now)
                                <= SMALL_BACKLOG_FRACTION * pacer.deferrableBacklog();
        if (!mayUpgrade) {
            return false;
        }
        Optional<Proxy> next = proxies.all().stream().filter(this::canUpgrade).findFirst();
        next.ifPresent(proxy -> bindToTables(commands, proxy, now));
        return next.isPresent();
    }

    private boolean canUpgrade(Proxy proxy) {
        return proxy.isProvisional()
                && proxy.isBindable()
                && !pacer.isQuotaSpent(proxy, ChannelPacer.DEFERRABLE_QUOTA_FRACTION);
    }

    private void bindToProvisionalTable(ProxyCommands commands, Proxy proxy, long now) {
        double cost = proxy.provisionalBindingCost();
        int table = proxy.group().provisionalTable().number();
        double extra = commands.bindProxy(table, proxy.number(), ClassSet.all());
        proxy.recordBoundToProvisionalTable();
        pacer.post(proxy, cost + extra, now);
    }

    private void bindToTables(ProxyCommands commands, Proxy proxy, long now) {
        double cost = proxy.bindingCost();
        double extra = 0;
        for (RoutingTable table : proxy.group().tables()) {
            extra += commands.bindProxy(table.number(), proxy.number(), table.classes());
        }
        proxy.recordBoundToTables();
        pacer.post(proxy, cost + extra, now);
    }
}
