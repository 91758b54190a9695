package rockshift.planner;

/** Location of a replica relative to a proxy group. */
enum ZoneRelation {
    /** In the zone of the group's proxies. */
    SAME_ZONE,
    /** In any other zone. */
    OTHER_ZONE
}
