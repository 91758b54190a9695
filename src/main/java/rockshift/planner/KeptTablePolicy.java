package rockshift.planner;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rockshift.model.Ticks;
import rockshift.settings.PlannerSettings;

/**
 * Decides which waiting proxies must be bound while the controller does not know what operators
 * agreed on.
 *
 * <p>Inputs: the replicas listed when a proxy joined and since, whether its tables were ordered by
 * a controller, its reports, and the time in ticks that it has waited.
 *
 * <p>Guards against a table that contains a replica which operators hold out of service, written by
 * a controller that has not been told. The symptom is traffic to that replica from the proxies of
 * one controller only. The guard holds because a proxy keeps the tables that another controller
 * wrote, which follow what was agreed. A proxy is bound all the same if it may have no replica left
 * to use: if it reports that it could serve nothing, if it has been told to avoid as many replicas
 * as a table has entries, or if it has only the tables that it started with and nothing shows that
 * they work. Its own reports show that together with those about its zone.
 */
final class KeptTablePolicy {
    /**
     * Fraction of the time for which a proxy may have no replica that a proxy without ordered
     * tables waits; the rest is for the message to reach it.
     */
    private static final double WAIT_FRACTION = 0.5;

    /** How long it waits if the settings have no such time: time to learn what is agreed. */
    private static final long DEFAULT_WAIT_TICKS = 3 * Ticks.TICKS_PER_SECOND;

    private final double waitLimitTicks;
    private final ReplicaRegistry replicas;
    private final RouteEligibility eligibility;
    private final List<String> zones;

    /** By zone index, when a successful attempt of its proxies was last reported. */
    private final Map<Integer, Long> servedByZone = new HashMap<>();

    KeptTablePolicy(
            PlannerSettings settings, ReplicaRegistry replicas, RouteEligibility eligibility) {
        waitLimitTicks =
                Double.isInfinite(settings.noReplicaLimitTicks())
                        ? DEFAULT_WAIT_TICKS
                        : WAIT_FRACTION * settings.noReplicaLimitTicks();
        zones = settings.zones();
        this.replicas = replicas;
        this.eligibility = eligibility;
    }

    /** Records what the tables of a proxy may contain, once the proxy has a group. */
    void recordTables(Proxy proxy) {
        if (proxy.group() != null && proxy.keptTables() == null) {
            proxy.setKeptTables(new KeptTables(proxy.group(), replicas.all(), eligibility));
        }
    }

    /** Records that proxies of a zone reported successful attempts at a replica. */
    void recordServed(String zone, long now) {
        servedByZone.put(zones.indexOf(zone), now);
    }

    /** Returns whether a waiting proxy may have no replica to use. */
    boolean mustBind(Proxy proxy, long now) {
        if (!proxy.hasOrderedTables()) {
            return now - proxy.joinedAtTicks() >= waitLimitTicks && !isServing(proxy, now);
        }
        boolean mayBeEmpty = proxy.keptTables() != null && proxy.keptTables().mayBeEmpty();
        return mayBeEmpty || proxy.servedNothing();
    }

    private boolean isServing(Proxy proxy, long now) {
        long servedAtTicks =
                Math.min(
                        proxy.lastServedAtTicks(),
                        servedByZone.getOrDefault(proxy.zoneIndex(), proxy.joinedAtTicks()));
        boolean sinceJoined = servedAtTicks > proxy.joinedAtTicks();
        return sinceJoined && now - servedAtTicks < waitLimitTicks && !proxy.servedNothing();
    }
}
