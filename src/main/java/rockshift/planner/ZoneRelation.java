package rockshift.planner;

/** Where a replica is, seen from a group of proxies. */
enum ZoneRelation {
    SAME_ZONE,
    OTHER_ZONE
}
