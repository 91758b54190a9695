package rockshift.capacity;

/**
 * What a run of many controllers does.
 *
 * @param controllers lightweight ones
 * @param processes controllers of their own processes beside them
 * @param changes changes that are asked for
 * @param seed of all that is drawn
 * @param changeRate times the target's changes a day
 * @param killRate times the target's restarts and lost machines a day
 * @param partitionMillis how long a region is cut; 0 for not at all
 * @param partitionedRegion which one
 */
public record ScaleScenario(
        int controllers,
        int processes,
        int changes,
        long seed,
        double changeRate,
        double killRate,
        long partitionMillis,
        int partitionedRegion) {
    static final int MEMBERS = 5;
    static final int SERVICES = 180;
    static final int ZONES = 66;

    /** Controllers of a region, whose relays each serve half of them. */
    private static final int CONTROLLERS_PER_REGION = 200;

    private static final double CHANGES_PER_DAY = 1_300;

    /** Restarts and failed machines a day, of the target's controllers. */
    private static final double KILLS_PER_DAY = 410 + 32;

    private static final double TARGET_CONTROLLERS = 1_300;
    private static final double DAY_MILLIS = 86_400_000;

    /** Processes that a run may have. */
    private static final int MAX_PROCESSES = 200;

    /** Rejects sizes and rates that mean nothing. */
    public ScaleScenario {
        if (controllers < 1 || changes < 1 || changeRate <= 0 || killRate < 0) {
            throw new IllegalArgumentException("governors, changes and rates must be positive");
        }
    }

    int regions() {
        return Math.max(1, (controllers + CONTROLLERS_PER_REGION - 1) / CONTROLLERS_PER_REGION);
    }

    /** Whether it keeps within the processes that a run may have. */
    public boolean fits() {
        return MEMBERS + Region.RELAYS * regions() + processes <= MAX_PROCESSES
                && partitionedRegion < regions();
    }

    double millisBetweenChanges() {
        return DAY_MILLIS / CHANGES_PER_DAY / changeRate;
    }

    /** Ms between two controllers that are killed and started again; infinite for none. */
    double millisBetweenKills() {
        return DAY_MILLIS / (KILLS_PER_DAY * controllers / TARGET_CONTROLLERS) / killRate;
    }

    static String service(int number) {
        return "service-" + number;
    }

    static String zone(int number) {
        return "zone-" + number;
    }
}
