package rockshift.server;

import java.util.HashMap;
import java.util.Map;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.settings.SettingOverrides;

/**
 * Passes the changes that controllers agree on to this controller's planner, through the event
 * loop's queue like all other input. It also keeps the current list of replicas, which is needed
 * before a change can be proposed. Thread-safe.
 */
public final class AgreedChangesReceiver {
    private final EventLoop loop;

    /** Replicas by name. Guarded by this object's lock. */
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    AgreedChangesReceiver(EventLoop loop) {
        this.loop = loop;
        loop.setEndpointListener(this::endpointsListed);
    }

    private synchronized void endpointsListed(EndpointList list) {
        if (list.whole()) {
            endpoints.clear();
        }
        for (Endpoint entry : list.entries()) {
            String name = list.names().get(entry.replicaId());
            if (entry.health() == Endpoint.Health.GONE) {
                endpoints.remove(name);
            } else {
                endpoints.put(name, entry);
            }
        }
    }

    /** Returns a copy of the current replicas by name, without those that are gone. */
    public synchronized Map<String, Endpoint> endpoints() {
        return new HashMap<>(endpoints);
    }

    /**
     * Applies the agreed changes as of a version.
     *
     * @param drains the latest start time of a replica that is drained, in ticks of 100 us, by
     *     replica name
     */
    public void applyAgreed(long version, Map<String, Long> drains, SettingOverrides overrides) {
        applyAgreed(version, drains, overrides, () -> {});
    }

    /**
     * Applies the agreed changes as of a version.
     *
     * @param drains the latest start time of a replica that is drained, in ticks of 100 us, by
     *     replica name
     * @param onApplied run on the event loop's thread once the planner has applied the changes
     */
    public void applyAgreed(
            long version,
            Map<String, Long> drains,
            SettingOverrides overrides,
            Runnable onApplied) {
        Map<Long, Long> drainsById = new HashMap<>();
        drains.forEach((name, start) -> drainsById.put(ReplicaIds.idOf(name), start));
        loop.submit(new PlannerEvent.AgreedChanges(version, drainsById, overrides, onApplied));
    }

    /**
     * Sets whether the changes that were applied are up to date. Must be called with false before
     * the controller serves, if agreed changes are to come.
     */
    public void setAgreedStateKnown(boolean known) {
        loop.submit(new PlannerEvent.AgreedStateKnown(known));
    }

    /** Sets the extent to which the planner may change tables. */
    public void setControlScope(ControlScope scope) {
        loop.submit(new PlannerEvent.ControlScopeChanged(scope));
    }
}
