package rockshift.planner;

/**
 * Determines whether a replica is slow-starting, and which fraction of its capacity is available
 * until it has started.
 *
 * <p>Inputs: the start time of the replica and the current time, in ticks. The factor grows
 * linearly from the initial fraction to 1.
 *
 * <p>Guards against overload of a replica that has just started: its caches are empty, and it fails
 * above a multiple of its present capacity, the overload point. The symptom is failures soon after
 * {@code endpoint replica=... started=true}. The guard holds because every weight and every
 * capacity depends on the factor, and the factor depends on the replica's own start time, not on
 * when it was first listed.
 */
final class SlowStart {
    /** Fraction of the overload point that a slow-starting replica may be sent. */
    private static final double SAFE_OVERLOAD_FRACTION = 0.3;

    private final double initialFraction;
    private final double durationTicks;
    private final double safeLoadRatio;

    /**
     * Creates a slow start with the settings of a deployment.
     *
     * @param initialFraction factor at the start
     * @param durationTicks time after which the factor is 1
     * @param overloadMultiple load, as a multiple of its present capacity, above which a
     *     slow-starting replica fails
     */
    SlowStart(double initialFraction, double durationTicks, double overloadMultiple) {
        this.initialFraction = initialFraction;
        this.durationTicks = durationTicks;
        safeLoadRatio = SAFE_OVERLOAD_FRACTION * overloadMultiple;
    }

    /** Fraction of its full capacity that is available now: 1 for a replica that has started. */
    double factor(Replica replica, long now) {
        double ageTicks = Math.max(0, now - replica.startedAtTicks());
        return replica.startedAtTicks() == 0 || ageTicks >= durationTicks
                ? 1
                : initialFraction + (1 - initialFraction) * ageTicks / durationTicks;
    }

    /** Whether a replica started so recently that it does not have its full capacity yet. */
    boolean isSlowStarting(Replica replica, long now) {
        return factor(replica, now) < 1;
    }

    /** Load, as a multiple of its present capacity, that a slow-starting replica may be sent. */
    double safeLoadRatio() {
        return safeLoadRatio;
    }

    /**
     * Scales a rate for a comparison with a safe rate, so that it exceeds the safe rate only above
     * the overload point itself.
     */
    static double withoutSafetyMargin(double rate) {
        return SAFE_OVERLOAD_FRACTION * rate;
    }
}
