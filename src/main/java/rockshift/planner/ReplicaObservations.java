package rockshift.planner;

/**
 * What proxies of a replica's own zone, or those of all others, lately reported of it. All counts
 * decay with time.
 */
final class ReplicaObservations {
    private final Ejection ejection = new Ejection();
    private double attempts;
    private double failures;
    private double lateAnswers;

    /** Sum over attempts of the load that the replica reported; none reported counts as 0. */
    private double loadSum;

    /** What two groups of proxies reported together. */
    static ReplicaObservations combined(ReplicaObservations first, ReplicaObservations second) {
        ReplicaObservations both = new ReplicaObservations();
        both.add(
                first.attempts + second.attempts,
                first.failures + second.failures,
                first.lateAnswers + second.lateAnswers,
                first.loadSum + second.loadSum);
        return both;
    }

    void add(double newAttempts, double newFailures, double newLateAnswers, double newLoadSum) {
        attempts += newAttempts;
        failures += newFailures;
        lateAnswers += newLateAnswers;
        loadSum += newLoadSum;
    }

    double attempts() {
        return attempts;
    }

    double failures() {
        return failures;
    }

    double failureRatio() {
        return failures / attempts;
    }

    /** Whether the mean load over all attempts is at most a value. */
    boolean isLoadAtMost(double load) {
        return loadSum <= load * attempts;
    }

    /** A cost times the fraction of attempts that were answered late; 0 without attempts. */
    double lateCost(double cost) {
        return attempts > 0 ? cost * lateAnswers / attempts : 0;
    }

    Ejection ejection() {
        return ejection;
    }

    /** Starts over, without observations; cancels an ejection that is active. */
    void reset() {
        attempts = 0;
        failures = 0;
        lateAnswers = 0;
        loadSum = 0;
        ejection.cancel();
    }

    void decay(double keptFraction) {
        attempts *= keptFraction;
        failures *= keptFraction;
        lateAnswers *= keptFraction;
        loadSum *= keptFraction;
    }
}
