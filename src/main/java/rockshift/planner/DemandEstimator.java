package rockshift.planner;

import java.util.Collection;
import java.util.List;
import rockshift.model.Ticks;

/**
 * Estimates the demand share of each table, by group and class.
 *
 * <p>Inputs: arrivals that proxies report, with the ticks that they cover. Each proxy's rate starts
 * at its baseline rate and is an exponential moving average of its reports.
 *
 * <p>Guards against tables that follow noise: a proxy with less than one arrival per report would
 * move its group's tables by its last spans alone. The symptom is weights that change in every
 * round although demand is steady. The guard holds because low rates have a longer time constant,
 * which covers several arrivals, and all tables in use share a minimum demand.
 */
final class DemandEstimator {
    /** Time constant of a proxy's rate: short, as callers come and go, but several reports long. */
    private static final double TIME_CONSTANT_TICKS = 1.5 * Ticks.TICKS_PER_SECOND;

    /**
     * Number of arrivals whose mean duration is added to the time constant, up to the time constant
     * of capacities.
     */
    private static final double EXTRA_TIME_CONSTANT_ARRIVALS = 3;

    /**
     * Demand that is split evenly among all tables in use, as a fraction of the total, so that each
     * keeps a fair table.
     */
    private static final double SHARED_DEMAND_FRACTION = 0.02;

    /** Time constant of the decay of the highest rate at one proxy. */
    private static final double BUSIEST_PROXY_TIME_CONSTANT_TICKS = 60 * Ticks.TICKS_PER_SECOND;

    private double expectedPerTick;
    private double busiestProxyRatePerSecond;
    private long updatedAtTicks;

    DemandEstimator(long now) {
        updatedAtTicks = now;
    }

    /** Updates the rates of proxies, the highest rates, and the demand shares of tables in use. */
    void update(
            Collection<Proxy> proxies,
            List<ProxyGroup> groups,
            List<RoutingTable> tablesInUse,
            long now) {
        busiestProxyRatePerSecond *=
                Math.exp((updatedAtTicks - now) / BUSIEST_PROXY_TIME_CONSTANT_TICKS);
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
            double extraTicks =
                    Math.min(
                            CapacityEstimator.TIME_CONSTANT_TICKS,
                            EXTRA_TIME_CONSTANT_ARRIVALS
                                    * Ticks.TICKS_PER_SECOND
                                    / demand.ratePerSecond());
            demand.updateRate(
                    1 - Math.exp(-demand.coveredTicks() / (TIME_CONSTANT_TICKS + extraTicks)));
            double rate = demand.ratePerSecond();
            proxy.group().addDemand(k, rate);
            expectedPerTick += rate / Ticks.TICKS_PER_SECOND;
            busiestProxyRatePerSecond = Math.max(busiestProxyRatePerSecond, rate);
        }
    }

    /** Transactions per tick that the joined proxies are expected to receive. */
    double expectedPerTick() {
        return expectedPerTick;
    }

    /** Highest recent rate of one class at one proxy; any other proxy may reach it next. */
    double busiestProxyRatePerSecond() {
        return busiestProxyRatePerSecond;
    }
}
