package rockshift.model;

/** How much a controller may change at present. */
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
