package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import rockshift.model.Ticks;

/**
 * Recent arrivals and attempts at the proxies, and the time that they cover. Counts and time decay
 * alike, so that their quotient is a rate.
 *
 * <p>Each time is kept twice, because the first reports arrive late. One starts with the span of
 * the first report. The conservative one errs towards overload at start-up: for arrivals it is too
 * short, so that their rate is too high, and for capacities it is too long, so that they are too
 * low. The two converge.
 */
final class TrafficWindows {
    /** Time constant of the decay of arrivals and attempts: two to four report periods. */
    static final double TIME_CONSTANT_TICKS = 4 * Ticks.TICKS_PER_SECOND;

    /** Arrivals of one class, and the fraction of them that was admitted. */
    private static final class ClassTraffic {
        private double arrivals;
        private double admittedFraction = 1;
    }

    private final List<ClassTraffic> classes = new ArrayList<>();
    private double attempts;
    private double responses;
    private double responseTicks;
    private double shortestMeanResponseTicks = Double.MAX_VALUE;
    private double conservativeCoveredTicks;
    private double coveredTicksFromFirstReport;
    private double conservativeCapacityTicks;
    private double capacityTicksFromFirstReport;

    TrafficWindows(int classCount) {
        for (int k = 0; k < classCount; k++) {
            classes.add(new ClassTraffic());
        }
    }

    /** Adds the attempts of a report, their failures, and the mean response time. */
    void addAttempts(int newAttempts, int newFailures, long meanResponseTicks, long spanTicks) {
        int newResponses = Math.max(0, newAttempts - newFailures);
        attempts += newAttempts;
        responses += newResponses;
        responseTicks += newResponses * (double) meanResponseTicks;
        conservativeCapacityTicks =
                conservativeCapacityTicks == 0 ? spanTicks : conservativeCapacityTicks;
    }

    void addArrivals(int classNumber, int count) {
        classes.get(classNumber).arrivals += count;
    }

    /**
     * Decays counts and times. Does nothing before the first report.
     *
     * @param admittedFractions by class, the fraction admitted since the last call
     */
    void decay(long elapsedTicks, double[] admittedFractions) {
        if (conservativeCapacityTicks <= 0) {
            return;
        }
        double factor = Math.exp(-elapsedTicks / TIME_CONSTANT_TICKS);
        double capacityFactor = CapacityEstimator.decayFactor(elapsedTicks);
        boolean isFirstReport = conservativeCoveredTicks == 0;
        coveredTicksFromFirstReport =
                isFirstReport
                        ? conservativeCapacityTicks * factor
                        : coveredTicksFromFirstReport * factor + TIME_CONSTANT_TICKS * (1 - factor);
        double capacityGained = CapacityEstimator.TIME_CONSTANT_TICKS * (1 - capacityFactor);
        capacityTicksFromFirstReport =
                (isFirstReport ? conservativeCapacityTicks : capacityTicksFromFirstReport)
                                * capacityFactor
                        + (isFirstReport ? 0 : capacityGained);
        conservativeCapacityTicks = conservativeCapacityTicks * capacityFactor + capacityGained;
        conservativeCoveredTicks =
                conservativeCoveredTicks * factor + TIME_CONSTANT_TICKS * (1 - factor);
        attempts *= factor;
        responses *= factor;
        responseTicks *= factor;
        for (int k = 0; k < classes.size(); k++) {
            ClassTraffic traffic = classes.get(k);
            traffic.arrivals *= factor;
            traffic.admittedFraction =
                    traffic.admittedFraction * factor + admittedFractions[k] * (1 - factor);
        }
    }

    /** Whether no report of attempts has arrived yet, as of the last {@link #decay}. */
    boolean isEmpty() {
        return conservativeCoveredTicks == 0;
    }

    double attempts() {
        return attempts;
    }

    double attemptsPerTick() {
        return conservativeCoveredTicks > 0 ? attempts / conservativeCoveredTicks : 0;
    }

    /**
     * Returns the fraction of recent response times that was spent waiting: {@code 1 - shortest
     * mean / current mean}. May lower the shortest mean so far.
     */
    double updateWaitingFraction() {
        double meanTicks = responses > 0 ? responseTicks / responses : Double.MAX_VALUE;
        shortestMeanResponseTicks = Math.min(shortestMeanResponseTicks, meanTicks);
        return meanTicks > 0 ? 1 - shortestMeanResponseTicks / meanTicks : 0;
    }

    double arrivals(int classNumber) {
        return classes.get(classNumber).arrivals;
    }

    double arrivals() {
        return classes.stream().mapToDouble(traffic -> traffic.arrivals).sum();
    }

    /** Arrivals of all classes that were admitted. */
    double admittedArrivals() {
        return classes.stream()
                .mapToDouble(traffic -> traffic.arrivals * traffic.admittedFraction)
                .sum();
    }

    double admittedFraction(int classNumber) {
        return classes.get(classNumber).admittedFraction;
    }

    /** Time that attempts and arrivals cover; too short at start-up, so that rates are too high. */
    double conservativeCoveredTicks() {
        return conservativeCoveredTicks;
    }

    double coveredTicksFromFirstReport() {
        return coveredTicksFromFirstReport;
    }

    /**
     * Time that the evidence of capacities covers; too long at start-up, so that capacities are too
     * low. 0 before the first report.
     */
    double conservativeCapacityTicks() {
        return conservativeCapacityTicks;
    }

    double capacityTicksFromFirstReport() {
        return capacityTicksFromFirstReport;
    }
}
