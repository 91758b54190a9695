package rockshift.model;

/**
 * A replica as the list shows it.
 *
 * @param startedAtTicks when it last started, in tenths of a millisecond; 0 for long past
 */
public record Endpoint(
        long replicaId, String zone, String machineType, Health health, long startedAtTicks) {
    /** What the list says of a replica: fit for new work, finishing what it has, or removed. */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }
}
