package rockshift.planner;

import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.TreeMap;
import rockshift.model.Ticks;

/**
 * Estimates capacities: what each replica would answer if it were busy all the time, as a share of
 * the fleet.
 *
 * <p>Inputs: answers to this controller's proxies, and load as a fraction of time that the replica
 * was busy for everyone. Their quotient is the capacity scaled by this controller's part of it,
 * which needs nothing from other controllers. With few answers the estimate is close to the mean of
 * the machine type.
 *
 * <p>Guards against weights that feed on themselves: the answered rate alone follows the weight
 * that a replica was given, and one replica draws ever more. It shows as one replica with many
 * times the mean weight. Holds because a higher answered rate comes with a higher load.
 */
final class CapacityEstimator {
    /** Memory of answers and loads. */
    static final double MEMORY_TICKS = 8 * Ticks.TICKS_PER_SECOND;

    /** Weight of the mean of the machine type in an estimate, in answers. */
    private static final double PRIOR_ANSWERS = 15;

    /** A load report below it is mostly noise, and so would be a rate over it. */
    private static final double MIN_LOAD = 0.05;

    /**
     * Answers that wait for a smaller fraction of their time may just as well come from replicas
     * with less work.
     */
    private static final double MIN_WAITING_FRACTION = 0.25;

    private final SlowStart slowStart;
    private final RouteEligibility eligibility;
    private final OutlierDetector outlierDetector;
    private double loadWithoutReport = 1;

    CapacityEstimator(
            SlowStart slowStart, RouteEligibility eligibility, OutlierDetector outlierDetector) {
        this.slowStart = slowStart;
        this.eligibility = eligibility;
        this.outlierDetector = outlierDetector;
    }

    /** The part of the evidence that is left after some time. */
    static double keptFraction(long elapsedTicks) {
        return Math.exp(-elapsedTicks / MEMORY_TICKS);
    }

    /**
     * Lets evidence count less; answers of a slow-starting replica say nothing about a started one.
     */
    void decay(Collection<Replica> replicas, long elapsedTicks, long now) {
        double kept = keptFraction(elapsedTicks);
        for (Replica replica : replicas) {
            replica.loadEvidence().decay(slowStart.isSlowStarting(replica, now) ? 0 : kept);
        }
    }

    /**
     * Updates the capacities of replicas in use, as shares of their sum, and the load that counts
     * for a replica without reports.
     *
     * @param expectedPerTick transactions a tick that the joined proxies are expected to receive
     */
    FleetCapacity updateCapacities(
            List<Replica> replicas,
            TrafficWindows traffic,
            BaselineRates baseline,
            double expectedPerTick,
            long now) {
        updateLoadWithoutReport(replicas, traffic);
        MachineTypeMeans means = new MachineTypeMeans(replicas);
        double sum = 0;
        for (Replica replica : replicas) {
            replica.beginCapacityRound();
            replica.setCapacity(estimatedCapacity(replica, means, now));
            sum += replica.capacity();
        }
        double openCapacity = 0;
        double busyCapacity = 0;
        for (Replica replica : replicas) {
            // What no proxy can reach, as behind a cut network, is no capacity to admit by.
            if (hasOpenRoute(replica)) {
                openCapacity += replica.capacity();
                busyCapacity += replica.capacity() * loadOf(replica);
            }
        }
        double answersPerTick =
                traffic.conservativeCapacityTicks() > 0
                        ? openCapacity / traffic.conservativeCapacityTicks()
                        : 0;
        double requestedPerTick = Math.max(expectedPerTick, traffic.attemptsPerTick());
        normalize(replicas, answersPerTick > 0 ? requestedPerTick / answersPerTick : 0, sum, now);
        return new FleetCapacity(
                baseline.growthSinceCapacityWindow() * answersPerTick,
                openCapacity > 0 ? busyCapacity / openCapacity : 0);
    }

    /**
     * Where no replica reports a load, it is derived from waiting times: with two cores on one
     * queue the waiting fraction is the square of the load. Were such replicas taken for fully
     * busy, only a fraction of what they just answered would be admitted, and ever less.
     */
    private void updateLoadWithoutReport(List<Replica> replicas, TrafficWindows traffic) {
        boolean reported = replicas.stream().anyMatch(replica -> replica.loadEvidence().hasLoad());
        loadWithoutReport =
                reported
                        ? 1
                        : Math.sqrt(
                                Math.max(MIN_WAITING_FRACTION, traffic.updateWaitingFraction()));
    }

    private boolean hasOpenRoute(Replica replica) {
        return replica.routesInUse().stream().anyMatch(eligibility::isOpen);
    }

    private double estimatedCapacity(Replica replica, MachineTypeMeans means, long now) {
        double availableFraction =
                replica.isEjected() || !replica.acceptsNewWork()
                        ? 0
                        : outlierDetector.recoveryFactor(replica, now)
                                * slowStart.factor(replica, now);
        double answers = replica.loadEvidence().answers();
        double answersWhenBusy = answers / loadOf(replica);
        double mean = means.of(replica.machineType());
        return availableFraction
                * (answers * answersWhenBusy + PRIOR_ANSWERS * mean)
                / (answers + PRIOR_ANSWERS);
    }

    /**
     * Turns capacities into shares of their sum. Where much more is attempted than the fleet can
     * do, or much of it is slow-starting, slow-starting replicas get no more than their safe load.
     */
    private void normalize(List<Replica> replicas, double loadRatio, double sum, long now) {
        double safeLoadRatio = slowStart.safeLoadRatio();
        for (Replica replica : replicas) {
            double reduction =
                    slowStart.isSlowStarting(replica, now) && loadRatio > safeLoadRatio
                            ? safeLoadRatio / loadRatio
                            : 1;
            double reducedCapacity = replica.capacity() * reduction;
            replica.setCapacity(sum > 0 ? reducedCapacity / sum : 0);
        }
    }

    /** Fraction of its time that a replica is busy, for all senders. */
    double loadOf(Replica replica) {
        LoadEvidence evidence = replica.loadEvidence();
        return Math.max(MIN_LOAD, evidence.hasLoad() ? evidence.meanLoad() : loadWithoutReport);
    }

    /** Mean answers of a busy replica, by machine type. */
    private final class MachineTypeMeans {
        private final TreeMap<String, DoubleSummaryStatistics> byType = new TreeMap<>();
        private final DoubleSummaryStatistics fleet = new DoubleSummaryStatistics();

        MachineTypeMeans(List<Replica> replicas) {
            for (Replica replica : replicas) {
                double answers = replica.loadEvidence().answers();
                if (replica.acceptsNewWork() && answers >= 1) {
                    double whenBusy = answers / loadOf(replica);
                    fleet.accept(whenBusy);
                    byType.computeIfAbsent(
                                    replica.machineType(), type -> new DoubleSummaryStatistics())
                            .accept(whenBusy);
                }
            }
        }

        /** The type's mean, or the fleet's where nothing is known of the type. */
        double of(String machineType) {
            return fleet.getCount() > 0 ? byType.getOrDefault(machineType, fleet).getAverage() : 1;
        }
    }
}
