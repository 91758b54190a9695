package rockshift.cluster;

import java.util.Collection;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the controller whether it knows what is agreed. A member knows it once it has applied all
 * that was committed at some time since its start, or once the members of its cluster have sent it
 * the agreed state while it waits to be added. Until then the controller has the state that the
 * member's folder contains, if any, in which entries may be missing. Used only by the member's
 * thread.
 */
final class AgreedStateKnowledge {
    private static final Logger LOG = LoggerFactory.getLogger(AgreedStateKnowledge.class);

    private final ClusterSettings settings;
    private final AgreedStateSnapshot recoveredState;
    private final LocalController controller;
    private final AppliedChanges appliedChanges;
    private final Consumer<Runnable> memberThread;
    private boolean known;

    /** Follows the agreed state while the member waits to be added; null if it does not. */
    private AgreedStateSubscription subscription;

    AgreedStateKnowledge(
            ClusterSettings settings,
            AgreedStateSnapshot recoveredState,
            LocalController controller,
            AppliedChanges appliedChanges,
            Consumer<Runnable> memberThread) {
        this.settings = settings;
        this.recoveredState = recoveredState;
        this.controller = controller;
        this.appliedChanges = appliedChanges;
        this.memberThread = memberThread;
    }

    /** Passes the state in the member's folder to the controller, which may have changed since. */
    void start() {
        controller.setAgreedStateKnown(false);
        controller.applyAgreed(
                recoveredState.version(), recoveredState.drains(), recoveredState.overrides());
    }

    /**
     * Called each time that a member of another cluster, which this member is not part of, names
     * its members. A subscription that cannot be started now is tried again the next time.
     */
    void clusterHeard(Collection<String> addresses) {
        if (subscription != null || addresses.isEmpty()) {
            return;
        }
        try {
            subscription =
                    new AgreedStateSubscription(
                            settings.name(), addresses, controller, memberThread);
        } catch (RuntimeException failure) {
            // An address that is not valid, or no free descriptor: the member goes on without.
            LOG.warn("agreed state not followed yet cause=\"{}\"", failure.toString());
        }
    }

    /**
     * Updates the controller.
     *
     * @param partOfCluster whether the member takes part in a cluster
     * @param upToDate whether all that was committed at some time since the start is applied
     */
    void update(boolean partOfCluster, boolean upToDate) {
        if (partOfCluster) {
            close();
        }
        if (!known && partOfCluster && upToDate) {
            appliedChanges.passToController();
            setKnown(true);
        } else if (!known && subscription != null && subscription.isUpToDate()) {
            setKnown(true);
        }
    }

    /** Called when the member's cluster is not the one that its controller must follow. */
    void superseded() {
        setKnown(false);
    }

    private void setKnown(boolean nowKnown) {
        known = nowKnown;
        controller.setAgreedStateKnown(nowKnown);
    }

    /** Ends the subscription, if there is one. */
    void close() {
        if (subscription != null) {
            subscription.close();
            subscription = null;
        }
    }
}
