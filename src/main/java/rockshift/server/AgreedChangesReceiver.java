package rockshift.server;

import java.util.HashMap;
import java.util.Map;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.settings.SettingOverrides;

/**
 * How what governors agree among themselves comes into one of them: by the same queue as all else
 * that the module learns. It owns the view of the list that is needed before a change is asked for;
 * it decides nothing of what follows from one.
 */
public final class AgreedChangesReceiver {
    private final EventLoop loop;
    private final Map<String, Endpoint> listed = new HashMap<>();

    AgreedChangesReceiver(EventLoop loop) {
        this.loop = loop;
        loop.listing = this::hear;
    }

    private synchronized void hear(DiscoveryClient.Listing listing) {
        if (listing.whole()) {
            listed.clear();
        }
        for (Endpoint entry : listing.entries()) {
            String name = listing.names().get(entry.replicaId());
            if (entry.health() == Endpoint.Health.GONE) {
                listed.remove(name);
            } else {
                listed.put(name, entry);
            }
        }
    }

    /** A copy of the list by the replicas' names, without those that are gone. */
    public synchronized Map<String, Endpoint> listed() {
        return new HashMap<>(listed);
    }

    /**
     * What stands agreed since a version: by replica's name, up to which start (tenths of a ms) it
     * is kept out.
     */
    public void agreed(long version, Map<String, Long> out, SettingOverrides overrides) {
        agreed(version, out, overrides, () -> {});
    }

    /** The same; runs a task on the module's thread once the module goes by it. */
    public void agreed(
            long version, Map<String, Long> out, SettingOverrides overrides, Runnable inForce) {
        Map<Long, Long> numbered = new HashMap<>();
        out.forEach((name, start) -> numbered.put(DiscoveryClient.number(name), start));
        loop.agreed(version, numbered, overrides, inForce);
    }

    public void reach(ControlScope reach) {
        loop.reach(reach);
    }
}
