package rockshift.planner;

/** Where a replica is, seen from a group of proxies. */
enum ZoneRelation {
    /** It is in the zone of the group's proxies. */
    SAME_ZONE,
    /** It is in any other zone. */
    OTHER_ZONE
}
