package rockshift.planner;

/** Proxies for which a replica is ejected. */
enum EjectionScope {
    ALL_PROXIES("all"),
    /** Proxies in zones other than the replica's. */
    OTHER_ZONES("otherZones");

    private final String logName;

    EjectionScope(String logName) {
        this.logName = logName;
    }

    String logName() {
        return logName;
    }
}
