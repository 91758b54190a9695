package rockshift.planner;

import java.util.ArrayList;
import java.util.List;
import rockshift.model.Ticks;

/**
 * Recent arrivals and attempts at the proxies, and the time that they cover. Everything decays
 * alike, counts and time, so that their quotient is a rate.
 *
 * <p>Each time is kept twice, as the first reports arrive late. One starts with the span of the
 * first report. The conservative one errs towards overload at a start: for arrivals it is too
 * short, so that their rate comes out too high, and for capacities too long, so that they come out
 * too low. The two approach each other.
 */
final class TrafficWindows {
    /** Memory of arrivals and attempts: two to four report periods. */
    static final double MEMORY_TICKS = 4 * Ticks.TICKS_PER_SECOND;

    /** One class: its arrivals, and the fraction of them that was admitted. */
    private static final class ClassTraffic {
        private double arrivals;
        private double admittedFraction = 1;
    }

    private final List<ClassTraffic> classes = new ArrayList<>();
    private double attempts;
    private double answers;
    private double answerTicks;
    private double shortestMeanAnswerTicks = Double.MAX_VALUE;
    private double conservativeCoveredTicks;
    private double coveredTicksFromFirstReport;
    private double conservativeCapacityTicks;
    private double capacityTicksFromFirstReport;

    TrafficWindows(int classCount) {
        for (int k = 0; k < classCount; k++) {
            classes.add(new ClassTraffic());
        }
    }

    /** Adds the attempts of a report, their failures, and the mean time of its answers. */
    void addAttempts(int count, int failed, long meanAnswerTicks, long spanTicks) {
        int answered = Math.max(0, count - failed);
        attempts += count;
        answers += answered;
        answerTicks += answered * (double) meanAnswerTicks;
        conservativeCapacityTicks =
                conservativeCapacityTicks == 0 ? spanTicks : conservativeCapacityTicks;
    }

    void addArrivals(int classNumber, int count) {
        classes.get(classNumber).arrivals += count;
    }

    /**
     * Lets what was reported count less. Does nothing before the first report.
     *
     * @param admittedFractions by class, what was admitted since the last call
     */
    void decay(long elapsedTicks, double[] admittedFractions) {
        if (conservativeCapacityTicks <= 0) {
            return;
        }
        double kept = Math.exp(-elapsedTicks / MEMORY_TICKS);
        double capacityKept = CapacityEstimator.keptFraction(elapsedTicks);
        boolean isFirstReport = conservativeCoveredTicks == 0;
        coveredTicksFromFirstReport =
                isFirstReport
                        ? conservativeCapacityTicks * kept
                        : coveredTicksFromFirstReport * kept + MEMORY_TICKS * (1 - kept);
        double capacityGained = CapacityEstimator.MEMORY_TICKS * (1 - capacityKept);
        capacityTicksFromFirstReport =
                (isFirstReport ? conservativeCapacityTicks : capacityTicksFromFirstReport)
                                * capacityKept
                        + (isFirstReport ? 0 : capacityGained);
        conservativeCapacityTicks = conservativeCapacityTicks * capacityKept + capacityGained;
        conservativeCoveredTicks = conservativeCoveredTicks * kept + MEMORY_TICKS * (1 - kept);
        attempts *= kept;
        answers *= kept;
        answerTicks *= kept;
        for (int k = 0; k < classes.size(); k++) {
            ClassTraffic traffic = classes.get(k);
            traffic.arrivals *= kept;
            traffic.admittedFraction =
                    traffic.admittedFraction * kept + admittedFractions[k] * (1 - kept);
        }
    }

    /** Whether no report of attempts has arrived yet, as of the last {@link #decay}. */
    boolean isEmpty() {
        return conservativeCoveredTicks == 0;
    }

    // ---- attempts ------------------------------------------------------------------------------

    double attempts() {
        return attempts;
    }

    double attemptsPerTick() {
        return conservativeCoveredTicks > 0 ? attempts / conservativeCoveredTicks : 0;
    }

    /**
     * The fraction of their time that answers lately waited: what they take beyond the shortest
     * mean so far, which this call may lower.
     */
    double updateWaitingFraction() {
        double meanTicks = answers > 0 ? answerTicks / answers : Double.MAX_VALUE;
        shortestMeanAnswerTicks = Math.min(shortestMeanAnswerTicks, meanTicks);
        return meanTicks > 0 ? 1 - shortestMeanAnswerTicks / meanTicks : 0;
    }

    // ---- arrivals ------------------------------------------------------------------------------

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

    // ---- time covered --------------------------------------------------------------------------

    /** Time that attempts and arrivals cover; too short at a start, so that rates are too high. */
    double conservativeCoveredTicks() {
        return conservativeCoveredTicks;
    }

    double coveredTicksFromFirstReport() {
        return coveredTicksFromFirstReport;
    }

    /**
     * Time that the evidence of capacities covers; too long at a start, so that capacities are too
     * low. 0 before the first report.
     */
    double conservativeCapacityTicks() {
        return conservativeCapacityTicks;
    }

    double capacityTicksFromFirstReport() {
        return capacityTicksFromFirstReport;
    }
}
