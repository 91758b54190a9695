package rockshift.model;

/**
 * Replica as listed by discovery.
 *
 * @param replicaId number of the replica, unchanged across its restarts
 * @param machineType type of machine that it runs on
 * @param startedAtTicks time of its last start on the planner's clock; 0 if that is long past
 */
public record Endpoint(
        long replicaId, String zone, String machineType, Health health, long startedAtTicks) {
    /** Health of a replica as reported by discovery. */
    public enum Health {
        /** Accepts new requests. */
        READY("Ready"),
        /** Completes its current requests and must not get new ones. */
        DRAINING("Terminating"),
        /** Removed. */
        GONE("Gone");

        private final String wireName;

        Health(String wireName) {
            this.wireName = wireName;
        }

        /**
         * Returns the health for its name in discovery and on the simulator's wire, or null if the
         * name is unknown.
         */
        public static Health fromWireName(String name) {
            for (Health health : values()) {
                if (health.wireName.equals(name)) {
                    return health;
                }
            }
            return null;
        }
    }
}
