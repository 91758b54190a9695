package rockshift.cluster;

import java.util.Map;

/**
 * The controller that a member belongs to, as far as the agreed state concerns it. Calls come on
 * the member's thread and must not wait.
 */
public interface LocalController {
    /**
     * How much a controller may change, by whether its member is in touch with a quorum: what the
     * member passes to its controller. {@link ClusterSettings.Minority} is the operator's choice
     * that it follows from, {@link rockshift.model.ControlScope} what the planner makes of it. The
     * constants in lower case are words of {@code cluster status}.
     */
    enum Reach {
        /** All: the member is in touch, or its file says so. */
        FULL,
        /** Removals only: what the rules owe to replicas that drain. */
        WITHDRAW,
        /** Nothing. */
        HOLD
    }

    /** Takes over all that is agreed, anew after each change. */
    void applyAgreed(long version, Map<String, Change> drains, Map<String, Double> overrides);

    /** Takes over how much it may change. */
    void setReach(Reach reach);

    /** Why the controller refuses a change, by what discovery lists now; null if it does not. */
    String objection(Change change, Map<String, Change> drains);

    /** When a listed replica last started, in ms of Unix time; 0 where that is not known. */
    long startedMillis(String replica);

    /** The zone of a listed replica; empty where that is not known. */
    String zoneOf(String replica);
}
