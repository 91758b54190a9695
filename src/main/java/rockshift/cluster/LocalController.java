package rockshift.cluster;

import java.util.Map;

/**
 * The controller in the same process as a member. Methods are called on the member's thread and
 * must not block.
 */
public interface LocalController {
    /**
     * What a controller may change, which its member derives from its contact with a quorum and the
     * operator's choice in {@link ClusterSettings.Minority}. The planner gets it as a {@link
     * rockshift.model.ControlScope}. The output of {@code cluster status} contains the names of the
     * constants in lower case.
     */
    enum PermittedChanges {
        /** Everything: the member has quorum contact, or the operator's file allows it without. */
        FULL,
        /** Only the removals that the rules require for replicas that drain. */
        WITHDRAW,
        /** Nothing. */
        HOLD
    }

    /** Applies the whole agreed state; called after each change. */
    void applyAgreed(long version, Map<String, Change> drains, Map<String, Double> overrides);

    /**
     * Sets whether the agreed state that was applied last is up to date, or was since the start.
     * The controller does not assume so before the first call.
     */
    void setAgreedStateKnown(boolean known);

    /** Sets what the controller may change. */
    void setPermittedChanges(PermittedChanges permitted);

    /**
     * Returns why the controller refuses a change, given the replicas that discovery lists now, or
     * null if it accepts the change.
     */
    String rejectionReason(Change change, Map<String, Change> drains);

    /** Returns the start time of a listed replica in ms of Unix time, or 0 if it is not known. */
    long startedMillis(String replica);

    /** Returns the zone of a listed replica, or an empty text if it is not known. */
    String zoneOf(String replica);
}
