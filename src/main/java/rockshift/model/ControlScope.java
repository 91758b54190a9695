package rockshift.model;

/**
 * How much a controller may change at present: what the planner obeys. A member of a cluster
 * derives it from its contact with a quorum ({@code LocalController.Reach}) and the operator's
 * choice ({@code ClusterSettings.Minority}). The constants are words of the log.
 */
public enum ControlScope {
    /** Everything. */
    FULL,
    /**
     * Only what safety requires, as the controller is out of touch with most others: replicas that
     * drain or left come out of the tables, and no table stays empty.
     */
    REMOVALS_ONLY,
    /** Nothing. */
    NONE
}
