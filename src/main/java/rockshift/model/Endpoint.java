package rockshift.model;

/**
 * A replica as discovery lists it.
 *
 * @param replicaId number of the replica, kept over its restarts
 * @param machineType kind of machine that it runs on
 * @param startedAtTicks when it last started, on the planner's clock; 0 for long past
 */
public record Endpoint(
        long replicaId, String zone, String machineType, Health health, long startedAtTicks) {
    /** What discovery says of a replica. */
    public enum Health {
        /** Takes new requests. */
        READY("Ready"),
        /** Finishes the requests that it has; must get no new ones. */
        DRAINING("Terminating"),
        /** Removed. */
        GONE("Gone");

        private final String wireName;

        Health(String wireName) {
            this.wireName = wireName;
        }

        /** The health for a word of discovery or of the simulator's wire; null for another word. */
        public static Health fromWireName(String word) {
            for (Health health : values()) {
                if (health.wireName.equals(word)) {
                    return health;
                }
            }
            return null;
        }
    }
}
