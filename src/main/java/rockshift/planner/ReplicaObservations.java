package rockshift.planner;

/**
 * Recent reports about a replica, either from proxies of its own zone or from those of all other
 * zones. All counts decay over time.
 */
final class ReplicaObservations {
    private final Ejection ejection = new Ejection();
    private double attempts;
    private double failures;
    private double lateResponses;

    /**
     * Sum over attempts of the load that the replica reported; an attempt without a load counts as
     * 0.
     */
    private double loadSum;

    /** Returns the sum of two sets of observations. */
    static ReplicaObservations combined(ReplicaObservations first, ReplicaObservations second) {
        ReplicaObservations sum = new ReplicaObservations();
        sum.add(
                first.attempts + second.attempts,
                first.failures + second.failures,
                first.lateResponses + second.lateResponses,
                first.loadSum + second.loadSum);
        return sum;
    }

    void add(double newAttempts, double newFailures, double newLateResponses, double newLoadSum) {
        attempts += newAttempts;
        failures += newFailures;
        lateResponses += newLateResponses;
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

    /** Returns a cost times the fraction of attempts with a late response; 0 without attempts. */
    double lateCost(double cost) {
        return attempts > 0 ? cost * lateResponses / attempts : 0;
    }

    Ejection ejection() {
        return ejection;
    }

    /** Discards all observations and cancels an active ejection. */
    void reset() {
        attempts = 0;
        failures = 0;
        lateResponses = 0;
        loadSum = 0;
        ejection.cancel();
    }

    void decay(double factor) {
        attempts *= factor;
        failures *= factor;
        lateResponses *= factor;
        loadSum *= factor;
    }
}
