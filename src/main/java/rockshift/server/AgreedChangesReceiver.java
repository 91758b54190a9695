package rockshift.server;

import java.util.HashMap;
import java.util.Map;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.settings.SettingOverrides;

/**
 * Hands the changes that controllers agree on to this one's planner, through the event loop's queue
 * like all other input. It also keeps the current list of replicas, which is needed before a change
 * can be proposed. Any thread may call it.
 */
public final class AgreedChangesReceiver {
    private final EventLoop loop;

    /** By name, guarded by this object's lock. */
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

    /** A copy of the list of replicas by name, without those that are gone. */
    public synchronized Map<String, Endpoint> endpoints() {
        return new HashMap<>(endpoints);
    }

    /**
     * Applies what is agreed as of a version.
     *
     * @param drains by replica name, the latest start that is drained, in ticks of 100 us
     */
    public void applyAgreed(long version, Map<String, Long> drains, SettingOverrides overrides) {
        applyAgreed(version, drains, overrides, () -> {});
    }

    /**
     * The same, and runs a task on the event loop's thread once the planner goes by the changes.
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

    /** Sets how far the planner may change tables. */
    public void setControlScope(ControlScope scope) {
        loop.submit(new PlannerEvent.ControlScopeChanged(scope));
    }
}
