package rockshift.model;

/**
 * A replica as the list shows it.
 *
 * @param startedAtTicks when it last started, in tenths of a millisecond; 0 for long past
 */
public record Endpoint(
        long replicaId, String zone, String machineType, Health health, long startedAtTicks) {
    /** What discovery says of a replica: fit for new work, finishing what it has, or removed. */
    public enum Health {
        READY("Ready"),
        DRAINING("Terminating"),
        GONE("Gone");

        private final String wireName;

        Health(String wireName) {
            this.wireName = wireName;
        }

        /** The health that discovery and the simulator have this word for, or null for none. */
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
