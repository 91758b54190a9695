package rockshift.planner;

/**
 * Evidence from which the capacity of one replica is estimated: its responses to this controller's
 * proxies, and the load that it reported. All counts decay over time.
 */
final class LoadEvidence {
    private double responses;
    private double loadSum;
    private double attemptsWithLoad;

    /** Adds a report; the load is null if the replica reported none. */
    void add(int attempts, int failures, Double load) {
        responses += Math.max(0, attempts - failures);
        loadSum += load == null ? 0 : attempts * load;
        attemptsWithLoad += load == null ? 0 : attempts;
    }

    double responses() {
        return responses;
    }

    boolean hasLoad() {
        return attemptsWithLoad > 0;
    }

    /** Mean fraction of time that the replica was busy; requires {@link #hasLoad}. */
    double meanLoad() {
        return loadSum / attemptsWithLoad;
    }

    void reset() {
        responses = 0;
        loadSum = 0;
        attemptsWithLoad = 0;
    }

    void decay(double factor) {
        responses *= factor;
        loadSum *= factor;
        attemptsWithLoad *= factor;
    }
}
