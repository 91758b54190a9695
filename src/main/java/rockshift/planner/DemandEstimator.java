package rockshift.planner;

import java.util.Collection;
import java.util.List;
import rockshift.model.Ticks;

/**
 * Estimates the demand share of each table, by group and class.
 *
 * <p>Inputs: arrivals that proxies report, with the ticks that they cover. Each proxy's rate moves
 * towards its reports; it starts with the proxy's baseline rate.
 *
 * <p>Guards against tables that follow noise: a proxy with less than one arrival a report would
 * move its group's tables by its last spans alone. It shows as weights that change at every round
 * though demand is steady. Holds because the memory of a low rate is longer, so that it covers some
 * arrivals, and all tables in use share a floor.
 */
final class DemandEstimator {
    /** Memory of a proxy's rate: short, as callers come and go, but some reports long. */
    private static final double MEMORY_TICKS = 1.5 * Ticks.TICKS_PER_SECOND;

    /** Arrivals whose mean time is added to the memory, up to the memory of capacities. */
    private static final double EXTRA_MEMORY_ARRIVALS = 3;

    /** Demand that all tables in use share beside their own, so that each keeps a fair table. */
    private static final double SHARED_DEMAND_FRACTION = 0.02;

    /** Memory of the highest rate at one proxy. */
    private static final double BUSIEST_PROXY_MEMORY_TICKS = 60 * Ticks.TICKS_PER_SECOND;

    private double expectedPerTick;
    private double busiestProxyRatePerSecond;
    private long updatedAtTicks;

    DemandEstimator(long now) {
        updatedAtTicks = now;
    }

    /** Updates the rates of proxies, the highest ones, and the demand shares of tables in use. */
    void update(
            Collection<Proxy> proxies,
            List<ProxyGroup> groups,
            List<RoutingTable> tablesInUse,
            long now) {
        busiestProxyRatePerSecond *= Math.exp((updatedAtTicks - now) / BUSIEST_PROXY_MEMORY_TICKS);
        updatedAtTicks = now;
        groups.forEach(ProxyGroup::resetDemand);
        expectedPerTick = 0;
        for (Proxy proxy : proxies) {
            if (proxy.group() != null) {
                update(proxy);
            }
        }
        double total = Math.max(expectedPerTick * Ticks.TICKS_PER_SECOND, Double.MIN_NORMAL);
        double shared = SHARED_DEMAND_FRACTION / tablesInUse.size();
        for (RoutingTable table : tablesInUse) {
            double own = table.demandShare() / total;
            table.setDemandShare((own + shared) / (1 + SHARED_DEMAND_FRACTION));
        }
    }

    private void update(Proxy proxy) {
        for (int k = 0; k < proxy.demands().size(); k++) {
            ClassDemand demand = proxy.demands().get(k);
            double extraMemoryTicks =
                    Math.min(
                            CapacityEstimator.MEMORY_TICKS,
                            EXTRA_MEMORY_ARRIVALS
                                    * Ticks.TICKS_PER_SECOND
                                    / demand.ratePerSecond());
            demand.updateRate(
                    1 - Math.exp(-demand.coveredTicks() / (MEMORY_TICKS + extraMemoryTicks)));
            double rate = demand.ratePerSecond();
            proxy.group().addDemand(k, rate);
            expectedPerTick += rate / Ticks.TICKS_PER_SECOND;
            busiestProxyRatePerSecond = Math.max(busiestProxyRatePerSecond, rate);
        }
    }

    /** Transactions a tick that the joined proxies are expected to receive. */
    double expectedPerTick() {
        return expectedPerTick;
    }

    /** The highest recent rate of one class at one proxy; any proxy may be the next with it. */
    double busiestProxyRatePerSecond() {
        return busiestProxyRatePerSecond;
    }
}
