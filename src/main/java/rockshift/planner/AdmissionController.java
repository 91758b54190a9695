package rockshift.planner;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import rockshift.model.Ticks;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;

/**
 * Sets the fraction of each class that proxies admit: no more than the fleet can answer. One class
 * is shed first, the one whose refusal costs the goal least; the others fall together, to one
 * level, where that is not enough. Where no class is cheaper to shed than all, all fall together.
 * In a congestion collapse admission pauses: all levels are at their least until the longest
 * timeout of the classes has passed.
 *
 * <p>Inputs: arrivals and attempts with the ticks that they cover, the fleet's capacity in answers
 * a tick and its load, the median failure ratio. Acts only where levels are fractions.
 *
 * <p>Guards against queues that outgrow the latency objective, whether demand rose or capacity was
 * lost, and against congestion collapse, where servers work on what nobody waits for any more.
 * Shows as levels below 1; {@code admissionPaused reason=congestionCollapse median=...} for the
 * second. Holds because the levels go by capacity over demand, whatever changed either; and a fleet
 * that is not busy refuses nothing, whatever the estimates. It may refuse too much while capacity
 * is underrated.
 */
final class AdmissionController {
    /** Fraction of the fleet's capacity that may be admitted. */
    private static final double TARGET_UTILIZATION = 0.8;

    /** Mean load of the fleet below which nothing is shed. */
    private static final double MIN_LOAD_TO_SHED = 0.6;

    /** Mean load of the fleet from which it counts as overloaded. */
    private static final double OVERLOAD = 0.8;

    /** Level gained a round at most: all waiting requests at once would be too many. */
    private static final double MAX_INCREASE_PER_ROUND = 0.2;

    /** Least level of any class. */
    private static final double MIN_LEVEL = 0.05;

    /**
     * Median failure ratio below which the fleet counts as healthy, and its answers as its
     * capacity.
     */
    private static final double HEALTHY_FAILURE_RATIO = 0.05;

    /** Fraction of the difference by which the healthy rate of answers moves a round. */
    private static final double HEALTHY_RATE_STEP_FRACTION = 0.3;

    /** Fraction of the healthy rate of answers that counts as there in a congestion collapse. */
    private static final double COLLAPSE_RATE_FRACTION = 0.75;

    /** Median failure ratio that means a congestion collapse. */
    private static final double COLLAPSE_FAILURE_RATIO = 0.6;

    /** Time until reports show how a pause ended. */
    private static final long PAUSE_SETTLING_TICKS = 5 * Ticks.TICKS_PER_SECOND;

    /** Most retries of a refused client. */
    private static final double MAX_CLIENT_RETRIES = 3;

    /** Fraction refused from which the client retries can be learned. */
    private static final double MIN_REFUSED_FRACTION = 0.15;

    /** Fraction of the difference by which the client retries move a round. */
    private static final double CLIENT_RETRIES_STEP_FRACTION = 0.2;

    private final boolean enabled;
    private final List<ClassSettings> classes;
    private final DecisionLog log;
    private final double[] levels;
    private double clientRetries;

    /**
     * Answers a tick while the fleet was last healthy, per transaction a second of the baseline.
     */
    private double healthyRatePerBaselineRate;

    private long pausedUntilTicks;

    AdmissionController(AdmissionMode mode, List<ClassSettings> classes, DecisionLog log) {
        enabled = mode == AdmissionMode.FRACTION;
        this.classes = classes;
        this.log = log;
        levels = new double[classes.size()];
        Arrays.fill(levels, 1);
    }

    /** The fraction of a class that is admitted. */
    double level(int classNumber) {
        return levels[classNumber];
    }

    /** A copy, by class. */
    double[] levels() {
        return levels.clone();
    }

    /**
     * Updates the levels.
     *
     * @param worstClassWeight weight of the class with the worst result in the goal, 0 to 1
     */
    void update(
            TrafficWindows traffic,
            BaselineRates baseline,
            FleetCapacity capacity,
            double medianFailureRatio,
            double worstClassWeight,
            long now) {
        if (!enabled || traffic.isEmpty()) {
            return;
        }
        updateClientRetries(traffic);
        boolean overloaded = !(capacity.load() < OVERLOAD);
        double[] demand = demandPerTick(traffic, baseline, overloaded);
        updateHealthyRate(baseline, capacity, medianFailureRatio);
        double admissible = admissiblePerTick(traffic, baseline, capacity, overloaded);
        pauseOnCongestionCollapse(capacity, medianFailureRatio, now);
        setLevels(demand, admissible, capacity.load() < MIN_LOAD_TO_SHED, worstClassWeight, now);
    }

    /**
     * Updates how often a refused client retries, learned from what was admitted beyond the
     * attempts seen; slowly, as attempts end late. Taken for new demand, retries would have ever
     * more refused.
     */
    private void updateClientRetries(TrafficWindows traffic) {
        double admitted = traffic.admittedArrivals();
        double refusedFraction = 1 - admitted / traffic.arrivals();
        double excessRatio = admitted / Math.max(1, traffic.attempts()) - 1;
        double observedRetries =
                Math.max(0, Math.min(MAX_CLIENT_RETRIES, excessRatio / refusedFraction));
        if (refusedFraction > MIN_REFUSED_FRACTION) {
            clientRetries += CLIENT_RETRIES_STEP_FRACTION * (observedRetries - clientRetries);
        }
    }

    /**
     * First attempts a tick, by class. At a start the conservative time rates arrivals too high, up
     * to twice: it is only used for an overloaded fleet, where more arrives than is reported yet.
     */
    private double[] demandPerTick(
            TrafficWindows traffic, BaselineRates baseline, boolean overloaded) {
        double coveredTicksFromFirstReport = traffic.coveredTicksFromFirstReport();
        double coveredTicks =
                overloaded
                        ? Math.max(
                                traffic.conservativeCoveredTicks(), coveredTicksFromFirstReport / 2)
                        : coveredTicksFromFirstReport;
        double growth = baseline.growthSinceTrafficWindow();
        double[] demand = new double[classes.size()];
        for (int k = 0; k < demand.length; k++) {
            demand[k] =
                    growth
                            * traffic.arrivals(k)
                            / coveredTicks
                            / (1 + clientRetries * (1 - traffic.admittedFraction(k)));
        }
        return demand;
    }

    /**
     * What may be admitted a tick. In a congestion collapse answers fall though the capacity is
     * there, and refusing by them would refuse nearly all: a part of what was answered while the
     * fleet was healthy is admitted. That is too much where much capacity is really lost.
     */
    private double admissiblePerTick(
            TrafficWindows traffic,
            BaselineRates baseline,
            FleetCapacity capacity,
            boolean overloaded) {
        double answersPerTick =
                overloaded
                        ? capacity.answersPerTick()
                        : capacity.answersPerTick()
                                * traffic.conservativeCapacityTicks()
                                / traffic.capacityTicksFromFirstReport();
        double leastAnswersPerTick =
                COLLAPSE_RATE_FRACTION * healthyRatePerBaselineRate * baseline.currentPerSecond();
        return TARGET_UTILIZATION * Math.max(answersPerTick, leastAnswersPerTick);
    }

    /** Follows the answers while the fleet is healthy; the first value is taken as it is. */
    private void updateHealthyRate(
            BaselineRates baseline, FleetCapacity capacity, double medianFailureRatio) {
        double baselineRate = Math.max(baseline.currentPerSecond(), Double.MIN_NORMAL);
        double ratePerBaselineRate = capacity.answersPerTick() / baselineRate;
        boolean healthy = medianFailureRatio < HEALTHY_FAILURE_RATIO;
        double step = healthy ? HEALTHY_RATE_STEP_FRACTION : 0;
        healthyRatePerBaselineRate +=
                (healthyRatePerBaselineRate == 0 ? 1 : step)
                        * (ratePerBaselineRate - healthyRatePerBaselineRate);
    }

    /**
     * In a full congestion collapse servers work on requests that have timed out, whatever is still
     * admitted. Admitting next to nothing until the oldest has timed out frees them at once.
     */
    private void pauseOnCongestionCollapse(
            FleetCapacity capacity, double medianFailureRatio, long now) {
        if (medianFailureRatio > COLLAPSE_FAILURE_RATIO
                && capacity.load() > OVERLOAD
                && now > pausedUntilTicks + PAUSE_SETTLING_TICKS) {
            for (ClassSettings each : classes) {
                pausedUntilTicks = Math.max(pausedUntilTicks, now + each.timeoutTicks());
            }
            log.add(
                    String.format(
                            Locale.ROOT,
                            "admissionPaused reason=congestionCollapse median=%.2f",
                            medianFailureRatio));
        }
    }

    /**
     * Lowers the level of the class to shed first as far as needed, and then those of all others to
     * one common level. While admission is paused, all are at the least level.
     */
    private void setLevels(
            double[] demandPerTick,
            double admissiblePerTick,
            boolean admitAll,
            double worstClassWeight,
            long now) {
        double total = 0;
        for (double each : demandPerTick) {
            total += each;
        }
        OptionalInt firstToShed = firstToShed(demandPerTick, total, worstClassWeight);
        double shedDemand = firstToShed.isPresent() ? demandPerTick[firstToShed.getAsInt()] : total;
        double remainingDemand = total - shedDemand;
        double shedLevel = clampLevel((admissiblePerTick - remainingDemand) / shedDemand);
        double remainingLevel =
                remainingDemand > 0
                        ? clampLevel((admissiblePerTick - shedLevel * shedDemand) / remainingDemand)
                        : 1;
        for (int k = 0; k < levels.length; k++) {
            if (now < pausedUntilTicks) {
                levels[k] = MIN_LEVEL;
                continue;
            }
            boolean isShed = firstToShed.isEmpty() || k == firstToShed.getAsInt();
            double affordable = isShed ? shedLevel : remainingLevel;
            double target = admitAll ? 1 : affordable;
            levels[k] = Math.min(target, levels[k] + MAX_INCREASE_PER_ROUND);
        }
    }

    private static double clampLevel(double level) {
        return Math.max(MIN_LEVEL, Math.min(1, level));
    }

    /** The class whose refusal costs the goal least a request; empty to shed all alike. */
    private OptionalInt firstToShed(double[] demandPerTick, double total, double worstClassWeight) {
        double weightedDemand = 0;
        for (int k = 0; k < classes.size(); k++) {
            weightedDemand += demandPerTick[k] * classes.get(k).priorityWeight();
        }
        OptionalInt first = OptionalInt.empty();
        double leastLoss = 1 / total;
        for (int k = 0; k < classes.size(); k++) {
            double loss =
                    (1 - worstClassWeight) * classes.get(k).priorityWeight() / weightedDemand
                            + worstClassWeight / demandPerTick[k];
            if (loss < leastLoss) {
                first = OptionalInt.of(k);
                leastLoss = loss;
            }
        }
        return first;
    }
}
