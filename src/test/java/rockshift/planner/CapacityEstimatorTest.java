package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.classes;
import static rockshift.planner.PolicyFixtures.groupInEast;
import static rockshift.planner.PolicyFixtures.registry;
import static rockshift.planner.PolicyFixtures.replicas;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class CapacityEstimatorTest {
    private final TrafficWindows traffic = new TrafficWindows(1);
    private final BaselineRates baseline = new BaselineRates(0);
    private final CapacityEstimator estimator =
            new CapacityEstimator(
                    new SlowStart(0.2, 100_000, 3),
                    new RouteEligibility(classes(false)),
                    new OutlierDetector(
                            new SplittableRandom(7), new TaskSchedule(), new DecisionLog()));

    private List<Replica> fleet(int count) {
        ReplicaRegistry registry = registry(count);
        ProxyGroup group = groupInEast(1, replicas(registry));
        return ActiveRoutes.collect(group.tables(), registry.all()).replicas();
    }

    private void report(Replica replica, int responses, Double load) {
        replica.recordReport(replica.zone(), responses, 0, 0, load);
        traffic.addAttempts(responses, 0, 100, 10_000);
    }

    private FleetCapacity estimate(List<Replica> replicas) {
        return estimator.updateCapacities(replicas, traffic, baseline, 0, NOW);
    }

    @Test
    void capacityIsZeroWithoutReplicas() {
        assertThat(estimate(List.of())).isEqualTo(new FleetCapacity(0, 0));
    }

    @Test
    void capacitiesAreEqualBeforeFirstReport() {
        List<Replica> replicas = fleet(4);
        estimate(replicas);
        assertThat(replicas).allSatisfy(each -> assertThat(each.capacity()).isEqualTo(0.25));
    }

    @Test
    void capacityIsZeroIfAllReplicasAreEjected() {
        List<Replica> replicas = fleet(2);
        replicas.forEach(each -> each.ownZoneObservations().ejection().begin(1));
        assertThat(estimate(replicas)).isEqualTo(new FleetCapacity(0, 0));
        assertThat(replicas).allSatisfy(each -> assertThat(each.capacity()).isZero());
    }

    /**
     * The response rate follows the weight that a replica was given, so it counts only in relation
     * to the load.
     */
    @Test
    void moreResponsesAtProportionalLoadGiveEqualCapacity() {
        List<Replica> replicas = fleet(2);
        report(replicas.get(0), 30_000, 0.9);
        report(replicas.get(1), 10_000, 0.3);
        FleetCapacity capacity = estimate(replicas);
        assertThat(replicas.get(0).capacity()).isCloseTo(0.5, within(1e-3));
        assertThat(capacity.load()).isCloseTo(0.6, within(1e-3));
    }
}
