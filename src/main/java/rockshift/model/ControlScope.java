package rockshift.model;

/**
 * Scope of the changes that a controller may make at present; the planner obeys it. A member of a
 * cluster derives it from its contact with a quorum ({@code LocalController.PermittedChanges}) and
 * the operator's setting ({@code ClusterSettings.Minority}). The constants are written to the log
 * by name.
 */
public enum ControlScope {
    /** All changes. */
    FULL,
    /**
     * Only changes required for safety, because the controller has no contact with most other
     * controllers: draining and departed replicas are removed from the tables, and no table is left
     * empty.
     */
    REMOVALS_ONLY,
    /** No changes. */
    NONE
}
