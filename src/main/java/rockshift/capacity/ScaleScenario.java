package rockshift.capacity;

/**
 * The parameters of a run of many controllers.
 *
 * @param controllers the number of lightweight controllers
 * @param processes the number of further controllers, each in its own process
 * @param changes the number of changes to propose
 * @param seed the seed of all random draws
 * @param changeRate the rate of changes, as a multiple of the target's changes per day
 * @param killRate the rate of kills, as a multiple of the target's restarts and machine failures
 *     per day
 * @param partitionMillis the duration of a region's partition; 0 for none
 * @param partitionedRegion the index of the partitioned region
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

    /** The number of controllers of a region; each of its relays serves half of them. */
    private static final int CONTROLLERS_PER_REGION = 200;

    private static final double CHANGES_PER_DAY = 1_300;

    /** The restarts and machine failures per day of all controllers at the target size. */
    private static final double KILLS_PER_DAY = 410 + 32;

    private static final double TARGET_CONTROLLERS = 1_300;
    private static final double DAY_MILLIS = 86_400_000;

    /** The maximum number of child processes of a run. */
    private static final int MAX_PROCESSES = 200;

    /** Rejects sizes and rates out of range. */
    public ScaleScenario {
        if (controllers < 1 || changes < 1 || changeRate <= 0 || killRate < 0) {
            throw new IllegalArgumentException(
                    "controllers, changes and change rate must be positive, kill rate at least 0");
        }
    }

    int regions() {
        return Math.max(1, (controllers + CONTROLLERS_PER_REGION - 1) / CONTROLLERS_PER_REGION);
    }

    /** Whether it needs no more processes than allowed and the partitioned region exists. */
    public boolean fits() {
        return MEMBERS + Region.RELAYS * regions() + processes <= MAX_PROCESSES
                && partitionedRegion < regions();
    }

    double millisBetweenChanges() {
        return DAY_MILLIS / CHANGES_PER_DAY / changeRate;
    }

    /** The time between two restarts of a controller; infinite if there are none. */
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
