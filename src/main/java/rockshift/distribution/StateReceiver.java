package rockshift.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Validates the snapshots, differences and heartbeats of the subscribed scope and passes the valid
 * ones to the host. A rejected message leaves the state unchanged. Confined to the subscriber's
 * thread.
 */
final class StateReceiver {
    private static final long NEVER = Long.MIN_VALUE;

    private final Limits.Sizes sizes;
    private final Subscriber.Listener listener;
    private final SubscribedState state;
    private final InForceTracker tracker = new InForceTracker();

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

    /** Restores a state retained from an earlier run; it counts as in force. */
    void restore(Revision revision, Collection<Item> items) {
        Map<String, Long> digests = new HashMap<>();
        items.forEach(item -> digests.put(item.key(), item.digest()));
        state.replace(revision, scopeEpoch, digests);
        tracker.reset(revision, scopeEpoch);
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

    /** Returns the revision that is in force of the current scope. */
    Revision inForce() {
        return tracker.inForce(scopeEpoch);
    }

    /**
     * Returns when the state was last known to be current; {@link Long#MIN_VALUE} if it never was.
     */
    long freshAtMillis() {
        return freshAtMillis;
    }

    /** Changes the scope. The state is kept until the first snapshot of the new scope. */
    void changeScope(Scope newScope) {
        scope = newScope;
        scopeEpoch++;
    }

    /** Switches to another cluster. The state is kept until its first snapshot. */
    void adopt(long cluster) {
        adoptedCluster = cluster;
        snapshotRequired |= state.revision().cluster() != cluster;
    }

    /** Requires a snapshot, because the state differs from the one that the upstream expects. */
    void requireSnapshot() {
        snapshotRequired = true;
    }

    /**
     * Returns the revision that the upstream may resume from; {@link Revision#NONE} if it must send
     * a snapshot.
     */
    Revision resumableRevision() {
        boolean resumes = !snapshotRequired && state.scopeEpoch() == scopeEpoch;
        return resumes ? state.revision() : Revision.NONE;
    }

    /** Discards the parts of a snapshot received so far. */
    void abandonSnapshot() {
        assembly = null;
    }

    /** Returns whether a snapshot is in progress. */
    boolean snapshotPending() {
        return assembly != null;
    }

    /** Returns the number of parts received of the snapshot in progress. */
    int snapshotParts() {
        return assembly == null ? 0 : assembly.received();
    }

    void receive(DistributionMessage.SnapshotPart part) throws RejectionException {
        if (assembly == null) {
            state.checkSuccessor(part.revision(), adoptedCluster);
            assembly = new SnapshotAssembly(part, sizes);
        }
        assembly.add(part, scope);
        if (!assembly.complete()) {
            return;
        }
        SnapshotAssembly snapshot = assembly;
        assembly = null;
        snapshotRequired = false;
        adoptedCluster = 0;
        if (!state.revision().sameCluster(snapshot.revision())) {
            tracker.reset(Revision.NONE, scopeEpoch);
            freshAtMillis = NEVER;
        }
        state.replace(snapshot.revision(), scopeEpoch, snapshot.digests());
        tracker.delivered(state.revision(), scopeEpoch);
        listener.snapshot(snapshot.revision(), snapshot.items());
    }

    void receive(DistributionMessage.Difference difference) throws RejectionException {
        if (assembly != null) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "difference received during a snapshot");
        }
        state.apply(difference, scope);
        tracker.delivered(state.revision(), scopeEpoch);
        listener.difference(difference.to(), difference.updates());
    }

    /** Handles a heartbeat that confirms the state at a revision. */
    void receive(DistributionMessage.Heartbeat heartbeat) throws RejectionException {
        if (assembly != null || state.scopeEpoch() != scopeEpoch || snapshotRequired) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "current: "
                            + heartbeat.current()
                            + " received before the snapshot was complete");
        }
        state.checkConfirmedBy(heartbeat);
        advance(heartbeat.current());
        freshAtMillis = Math.max(freshAtMillis, heartbeat.echoMillis() - heartbeat.staleMillis());
    }

    /**
     * Handles the host's acknowledgement that a delivery is in force.
     *
     * @return whether a delivery of this revision was pending
     */
    boolean acknowledged(Revision revision) {
        return tracker.acknowledged(revision, state.revision());
    }

    private void advance(Revision current) {
        if (current.number() == state.revision().number()) {
            return;
        }
        state.advance(current);
        tracker.advanced(current);
        listener.advanced(current);
    }
}
