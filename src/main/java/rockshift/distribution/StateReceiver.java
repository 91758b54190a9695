package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Takes the snapshots, differences and heartbeats of the scope that is asked for, and hands what is
 * valid to the host. A message that is rejected leaves the state as it was. Owned by the
 * subscriber's thread.
 */
final class StateReceiver {
    private static final long NEVER = Long.MIN_VALUE;

    private final Limits.Sizes sizes;
    private final Subscriber.Listener listener;
    private final SubscribedState state;
    private final InForceTracker inForce = new InForceTracker();

    private Scope scope;
    private long scopeEpoch = 1;
    private boolean snapshotRequired;
    private long adoptedCluster;
    private SnapshotAssembly assembly;
    private long freshAtMillis = NEVER;

    StateReceiver(Scope scope, Limits.Sizes sizes, Subscriber.Listener listener) {
        this.scope = scope;
        this.sizes = sizes;
        this.listener = listener;
        this.state = new SubscribedState(sizes);
    }

    /** Takes up a state that was kept from an earlier run; it counts as in force. */
    void restore(Revision revision, Collection<Item> items) {
        Map<String, Long> digests = new HashMap<>();
        items.forEach(item -> digests.put(item.key(), item.digest()));
        state.replace(revision, scopeEpoch, digests);
        inForce.begin(revision, scopeEpoch);
    }

    Scope scope() {
        return scope;
    }

    long scopeEpoch() {
        return scopeEpoch;
    }

    Revision revision() {
        return state.revision();
    }

    /** What is in force of the present scope. */
    Revision inForce() {
        return inForce.of(scopeEpoch);
    }

    /** When the state was last known to be the newest; the lowest long if it never was. */
    long freshAtMillis() {
        return freshAtMillis;
    }

    /** Asks for another scope. The state stays until the first snapshot of the new one. */
    void changeScope(Scope wanted) {
        scope = wanted;
        scopeEpoch++;
    }

    /** Follows another cluster. The state stays until its first snapshot. */
    void adopt(long cluster) {
        adoptedCluster = cluster;
        snapshotRequired |= state.revision().cluster() != cluster;
    }

    /** The state is not what the upstream says that it should be. */
    void requireSnapshot() {
        snapshotRequired = true;
    }

    /** What the upstream may resume from; none if it must send a snapshot. */
    Revision resumableRevision() {
        boolean resumes = !snapshotRequired && state.scopeEpoch() == scopeEpoch;
        return resumes ? state.revision() : Revision.NONE;
    }

    /** Drops the parts of a snapshot that have come so far. */
    void abandonSnapshot() {
        assembly = null;
    }

    /** Whether a snapshot is under way. */
    boolean snapshotPending() {
        return assembly != null;
    }

    /** How many parts have come of the snapshot under way. */
    int snapshotParts() {
        return assembly == null ? 0 : assembly.received();
    }

    void receive(DistributionMessage.SnapshotPart part) throws RejectionException {
        if (assembly == null) {
            state.checkFollows(part.revision(), adoptedCluster);
            assembly = new SnapshotAssembly(part, sizes);
        }
        assembly.add(part, scope);
        if (!assembly.complete()) {
            return;
        }
        SnapshotAssembly whole = assembly;
        assembly = null;
        snapshotRequired = false;
        adoptedCluster = 0;
        if (!state.revision().sameCluster(whole.revision())) {
            inForce.begin(Revision.NONE, scopeEpoch);
            freshAtMillis = NEVER;
        }
        state.replace(whole.revision(), scopeEpoch, whole.digests());
        inForce.delivered(state.revision(), scopeEpoch);
        listener.snapshot(whole.revision(), whole.items());
    }

    void receive(DistributionMessage.Difference difference) throws RejectionException {
        if (assembly != null) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "difference within a snapshot");
        }
        state.apply(difference, scope);
        inForce.delivered(state.revision(), scopeEpoch);
        listener.difference(difference.to(), difference.updates());
    }

    /** A heartbeat that confirms the state at a revision. */
    void receive(DistributionMessage.Heartbeat heartbeat) throws RejectionException {
        if (assembly != null || state.scopeEpoch() != scopeEpoch || snapshotRequired) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "current: " + heartbeat.current() + " before the whole snapshot");
        }
        state.checkStandsAt(heartbeat);
        advance(heartbeat.current());
        freshAtMillis = Math.max(freshAtMillis, heartbeat.echoMillis() - heartbeat.staleMillis());
    }

    /** The host has put a delivery in force; returns whether there was such a one. */
    boolean acknowledged(Revision revision) {
        return inForce.acknowledged(revision, state.revision());
    }

    private void advance(Revision current) {
        if (current.number() == state.revision().number()) {
            return;
        }
        state.advance(current);
        inForce.advanced(current);
        listener.advanced(current);
    }
}
