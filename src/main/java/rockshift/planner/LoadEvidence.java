package rockshift.planner;

/**
 * What the capacity of one replica is estimated from: its answers to this controller's proxies, and
 * the load that it reported. All counts decay with time.
 */
final class LoadEvidence {
    private double answers;
    private double loadSum;
    private double attemptsWithLoad;

    /** Takes in a report; the load is null if the replica reported none. */
    void add(int attempts, int failures, Double load) {
        answers += Math.max(0, attempts - failures);
        loadSum += load == null ? 0 : attempts * load;
        attemptsWithLoad += load == null ? 0 : attempts;
    }

    double answers() {
        return answers;
    }

    boolean hasLoad() {
        return attemptsWithLoad > 0;
    }

    /** Mean fraction of its time that the replica was busy; needs {@link #hasLoad}. */
    double meanLoad() {
        return loadSum / attemptsWithLoad;
    }

    void reset() {
        answers = 0;
        loadSum = 0;
        attemptsWithLoad = 0;
    }

    void decay(double keptFraction) {
        answers *= keptFraction;
        loadSum *= keptFraction;
        attemptsWithLoad *= keptFraction;
    }
}
