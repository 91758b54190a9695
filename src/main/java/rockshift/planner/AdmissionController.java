package rockshift.planner;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import rockshift.model.Ticks;
import rockshift.settings.AdmissionMode;
import rockshift.settings.ClassSettings;

/**
 * Sets the fraction of each class that proxies admit, so that no more is admitted than the fleet
 * can serve. The class whose refusal costs the goal least is shed first; if that is not enough, the
 * other classes are lowered together to one level. If no class is cheaper to shed than all of them,
 * all are lowered together. In a congestion collapse admission pauses: all levels are at the
 * minimum until the longest timeout of the classes has passed.
 *
 * <p>Inputs: arrivals and attempts with the ticks that they cover, the fleet's capacity in
 * responses per tick and its load, the median failure ratio. Only active where levels are
 * fractions.
 *
 * <p>Guards against queues that exceed the latency objective, whether demand rose or capacity was
 * lost, and against congestion collapse, where servers work on requests that no client waits for
 * any more. The symptom is levels below 1, and for a congestion collapse {@code admissionPaused
 * reason=congestionCollapse median=...}. The guard holds because levels follow the ratio of
 * capacity to demand, whichever of them changed, and because a fleet that is not busy refuses
 * nothing, whatever the estimates. It may refuse too much while capacity is underestimated.
 */
final class AdmissionController {
    /** Fraction of the fleet's capacity that may be admitted. */
    private static final double TARGET_UTILIZATION = 0.8;

    /** Mean load of the fleet below which nothing is shed. */
    private static final double MIN_LOAD_TO_SHED = 0.6;

    /** Mean load of the fleet from which it counts as overloaded. */
    private static final double OVERLOAD_THRESHOLD = 0.8;

    /** Maximum increase of a level per round, as all waiting requests at once would be too many. */
    private static final double MAX_INCREASE_PER_ROUND = 0.2;

    /** Minimum level of any class. */
    private static final double MIN_LEVEL = 0.05;

    /**
     * Median failure ratio below which the fleet counts as healthy, and its response rate as its
     * capacity.
     */
    private static final double HEALTHY_FAILURE_RATIO = 0.05;

    /** Fraction of the difference by which the healthy response rate moves per round. */
    private static final double HEALTHY_RATE_STEP_FRACTION = 0.3;

    /**
     * Fraction of the healthy response rate that is assumed as capacity in a congestion collapse.
     */
    private static final double COLLAPSE_RATE_FRACTION = 0.75;

    /** Median failure ratio above which there is a congestion collapse. */
    private static final double COLLAPSE_FAILURE_RATIO = 0.6;

    /** Time after a pause until reports show its effect. */
    private static final long PAUSE_SETTLING_TICKS = 5 * Ticks.TICKS_PER_SECOND;

    /** Maximum estimate of the retries of a refused client. */
    private static final double MAX_CLIENT_RETRIES = 3;

    /** Refused fraction above which client retries can be estimated. */
    private static final double MIN_REFUSED_FRACTION = 0.15;

    /** Fraction of the difference by which the estimate of client retries moves per round. */
    private static final double CLIENT_RETRIES_STEP_FRACTION = 0.2;

    private final boolean enabled;
    private final List<ClassSettings> classes;
    private final DecisionLog log;
    private final double[] levels;
    private double clientRetries;

    /**
     * Responses per tick while the fleet was last healthy, per transaction per second of the
     * baseline rate.
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

    /** Returns the fraction of a class that is admitted. */
    double level(int classNumber) {
        return levels[classNumber];
    }

    /** Returns a copy of the levels, by class. */
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
        boolean overloaded = !(capacity.load() < OVERLOAD_THRESHOLD);
        double[] demand = demandPerTick(traffic, baseline, overloaded);
        updateHealthyRate(baseline, capacity, medianFailureRatio);
        double admissible = admissiblePerTick(traffic, baseline, capacity, overloaded);
        pauseOnCongestionCollapse(capacity, medianFailureRatio, now);
        setLevels(demand, admissible, capacity.load() < MIN_LOAD_TO_SHED, worstClassWeight, now);
    }

    /**
     * Updates the estimate of how often a refused client retries, from the admitted arrivals beyond
     * the observed attempts; slowly, as attempts end late. If retries counted as new demand, more
     * and more would be refused.
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
     * Returns first attempts per tick, by class. At start-up the conservative time gives arrival
     * rates that are up to twice too high; it is only used for an overloaded fleet, where more
     * arrives than is reported yet.
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
     * Returns the requests that may be admitted per tick. In a congestion collapse responses fall
     * although the capacity is there, and a limit based on them would refuse nearly all requests,
     * so a fraction of the response rate of the healthy fleet is admitted. That is too much if much
     * capacity is really lost.
     */
    private double admissiblePerTick(
            TrafficWindows traffic,
            BaselineRates baseline,
            FleetCapacity capacity,
            boolean overloaded) {
        double responsesPerTick =
                overloaded
                        ? capacity.responsesPerTick()
                        : capacity.responsesPerTick()
                                * traffic.conservativeCapacityTicks()
                                / traffic.capacityTicksFromFirstReport();
        double leastResponsesPerTick =
                COLLAPSE_RATE_FRACTION * healthyRatePerBaselineRate * baseline.currentPerSecond();
        return TARGET_UTILIZATION * Math.max(responsesPerTick, leastResponsesPerTick);
    }

    /** Averages the response rate while the fleet is healthy; the first value is taken as it is. */
    private void updateHealthyRate(
            BaselineRates baseline, FleetCapacity capacity, double medianFailureRatio) {
        double baselineRate = Math.max(baseline.currentPerSecond(), Double.MIN_NORMAL);
        double ratePerBaselineRate = capacity.responsesPerTick() / baselineRate;
        boolean healthy = medianFailureRatio < HEALTHY_FAILURE_RATIO;
        double step = healthy ? HEALTHY_RATE_STEP_FRACTION : 0;
        healthyRatePerBaselineRate +=
                (healthyRatePerBaselineRate == 0 ? 1 : step)
                        * (ratePerBaselineRate - healthyRatePerBaselineRate);
    }

    /**
     * Pauses admission in a full congestion collapse: servers work on requests that have timed out,
     * whatever is still admitted. Admitting almost nothing until the oldest request has timed out
     * frees them at once.
     */
    private void pauseOnCongestionCollapse(
            FleetCapacity capacity, double medianFailureRatio, long now) {
        if (medianFailureRatio > COLLAPSE_FAILURE_RATIO
                && capacity.load() > OVERLOAD_THRESHOLD
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
     * one common level. While admission is paused, all levels are at the minimum.
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

    /**
     * Returns the class whose refusal costs the goal least per request; empty to shed all classes
     * alike.
     */
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
