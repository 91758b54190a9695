package rockshift.planner;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.TreeMap;
import rockshift.settings.PlannerSettings;

/** Proxies whose streams are up, and those of them that wait for their first tables. */
final class ProxyRegistry {
    private final List<String> zones;
    private final int classCount;
    private final long reportPeriodTicks;
    private final TreeMap<Integer, Proxy> proxies = new TreeMap<>();

    /** Waiting proxies in the order of joining. */
    private final LinkedHashMap<Integer, Proxy> waiting = new LinkedHashMap<>();

    ProxyRegistry(PlannerSettings settings, int classCount) {
        zones = settings.zones();
        this.classCount = classCount;
        reportPeriodTicks = settings.reportPeriodTicks();
    }

    /** All proxies in the order of their numbers; a live view. */
    Collection<Proxy> all() {
        return proxies.values();
    }

    /** Proxies without tables of this controller, in the order of joining; a live view. */
    Collection<Proxy> waiting() {
        return waiting.values();
    }

    /** Returns the proxy with a number, or null. */
    Proxy get(int number) {
        return proxies.get(number);
    }

    /** Adds a proxy whose stream came up; this replaces an older stream of the same proxy. */
    void join(
            long now,
            int number,
            String zone,
            double baselineRatePerSecond,
            boolean orderedTables) {
        leave(number);
        Proxy proxy =
                new Proxy(
                        number,
                        Math.max(0, zones.indexOf(zone)),
                        classCount,
                        baselineRatePerSecond,
                        orderedTables,
                        now,
                        now + reportPeriodTicks);
        proxies.put(number, proxy);
        waiting.put(number, proxy);
    }

    void leave(int number) {
        Proxy proxy = proxies.remove(number);
        waiting.remove(number);
        if (proxy != null) {
            proxy.leaveGroup();
        }
    }

    /** Removes a proxy from those that wait, as it gets its first tables. */
    void stopWaiting(Proxy proxy) {
        waiting.remove(proxy.number());
    }

    /** Counts periods without a report as periods without arrivals. */
    void recordMissedReports(long now) {
        if (reportPeriodTicks <= 0) {
            return;
        }
        for (Proxy proxy : proxies.values()) {
            proxy.demands().forEach(demand -> demand.recordMissedReport(reportPeriodTicks, now));
        }
    }

    /** Transactions per second that all joined proxies usually receive. */
    double baselineRatePerSecond() {
        return proxies.values().stream().mapToDouble(Proxy::baselineRatePerSecond).sum();
    }
}
