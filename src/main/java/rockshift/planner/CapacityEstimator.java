package rockshift.planner;

import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.TreeMap;
import rockshift.model.Ticks;

/**
 * Estimates the capacity of each replica, as a share of the fleet: the responses that it would give
 * if it were busy all the time.
 *
 * <p>Inputs: responses to this controller's proxies, and load as the fraction of time that the
 * replica was busy for all senders. {@code responses / load} is the capacity scaled by this
 * controller's part of the load, so nothing is needed from other controllers. With few responses
 * the estimate is close to the mean of the machine type.
 *
 * <p>Guards against a positive feedback of weights: the response rate alone follows the weight that
 * a replica was given, so that one replica attracts more and more traffic. The symptom is one
 * replica with many times the mean weight. The guard holds because a higher response rate comes
 * with a higher load.
 */
final class CapacityEstimator {
    /** Time constant of the decay of responses and loads. */
    static final double TIME_CONSTANT_TICKS = 8 * Ticks.TICKS_PER_SECOND;

    /** Weight of the mean of the machine type in an estimate, in responses. */
    private static final double PRIOR_RESPONSES = 15;

    /**
     * Lower bound of the load that responses are divided by; lower reports are mostly noise, and so
     * would be the quotient.
     */
    private static final double MIN_LOAD = 0.05;

    /**
     * Lower bound of the waiting fraction; a lower one may just as well come from replicas with
     * less load.
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

    /** Returns the fraction of the evidence that remains after a time. */
    static double decayFactor(long elapsedTicks) {
        return Math.exp(-elapsedTicks / TIME_CONSTANT_TICKS);
    }

    /**
     * Decays the evidence. Discards that of slow-starting replicas, as it does not apply to started
     * ones.
     */
    void decay(Collection<Replica> replicas, long elapsedTicks, long now) {
        double factor = decayFactor(elapsedTicks);
        for (Replica replica : replicas) {
            replica.loadEvidence().decay(slowStart.isSlowStarting(replica, now) ? 0 : factor);
        }
    }

    /**
     * Updates the capacities of replicas in use, as shares of their sum, and the load that is
     * assumed for replicas without load reports.
     *
     * @param expectedPerTick transactions per tick that the joined proxies are expected to receive
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
            // Replicas that no proxy can reach, as in a network partition, are no capacity to admit
            // requests for.
            if (hasOpenRoute(replica)) {
                openCapacity += replica.capacity();
                busyCapacity += replica.capacity() * loadOf(replica);
            }
        }
        double responsesPerTick =
                traffic.conservativeCapacityTicks() > 0
                        ? openCapacity / traffic.conservativeCapacityTicks()
                        : 0;
        double requestedPerTick = Math.max(expectedPerTick, traffic.attemptsPerTick());
        normalize(
                replicas, responsesPerTick > 0 ? requestedPerTick / responsesPerTick : 0, sum, now);
        return new FleetCapacity(
                baseline.growthSinceCapacityWindow() * responsesPerTick,
                openCapacity > 0 ? busyCapacity / openCapacity : 0);
    }

    /**
     * Derives the load from waiting times if no replica reports a load: {@code load =
     * sqrt(waitingFraction)}, as for two cores that share a queue. If such replicas counted as
     * fully busy, only a fraction of their recent responses would be admitted, and less in each
     * round.
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
        double responses = replica.loadEvidence().responses();
        double responsesWhenBusy = responses / loadOf(replica);
        double mean = means.of(replica.machineType());
        return availableFraction
                * (responses * responsesWhenBusy + PRIOR_RESPONSES * mean)
                / (responses + PRIOR_RESPONSES);
    }

    /**
     * Converts capacities to shares of their sum. Slow-starting replicas are limited to their safe
     * load if far more is attempted than the fleet can serve, or if much of the fleet is
     * slow-starting.
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

    /** Returns the fraction of time that a replica is busy, for all senders. */
    double loadOf(Replica replica) {
        LoadEvidence evidence = replica.loadEvidence();
        return Math.max(MIN_LOAD, evidence.hasLoad() ? evidence.meanLoad() : loadWithoutReport);
    }

    /** Mean responses of a fully busy replica, by machine type. */
    private final class MachineTypeMeans {
        private final TreeMap<String, DoubleSummaryStatistics> byType = new TreeMap<>();
        private final DoubleSummaryStatistics fleet = new DoubleSummaryStatistics();

        MachineTypeMeans(List<Replica> replicas) {
            for (Replica replica : replicas) {
                double responses = replica.loadEvidence().responses();
                if (replica.acceptsNewWork() && responses >= 1) {
                    double whenBusy = responses / loadOf(replica);
                    fleet.accept(whenBusy);
                    byType.computeIfAbsent(
                                    replica.machineType(), type -> new DoubleSummaryStatistics())
                            .accept(whenBusy);
                }
            }
        }

        /** Returns the mean of a type, or of the fleet if nothing is known of the type. */
        double of(String machineType) {
            return fleet.getCount() > 0 ? byType.getOrDefault(machineType, fleet).getAverage() : 1;
        }
    }
}
