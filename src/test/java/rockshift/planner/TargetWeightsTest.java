package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.classes;
import static rockshift.planner.PolicyFixtures.endpoint;
import static rockshift.planner.PolicyFixtures.groupInEast;
import static rockshift.planner.PolicyFixtures.registry;
import static rockshift.planner.PolicyFixtures.replicas;

import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.model.Endpoint;
import rockshift.settings.PlannerSettings;

class TargetWeightsTest {
    private static final long SLOW_START_TICKS = 100_000;

    private final PlannerSettings settings =
            PlannerSettings.newBuilder().classes(classes(false)).build();
    private final TargetWeights weights =
            new TargetWeights(new SlowStart(0.2, SLOW_START_TICKS, 1), settings);
    private final ReplicaRegistry registry = registry(3);
    private final RoutingTable table = groupInEast(1, replicas(registry)).tables().get(0);

    private List<Double> targets(double... rates) {
        List<Route> routes = List.copyOf(table.routes());
        for (int i = 0; i < rates.length; i++) {
            routes.get(i).setEligibility(true, true);
            routes.get(i).setLinkCopy(rates[i]);
            routes.get(i).replica().setCapacity(1.0 / 3);
        }
        table.setOpenCapacity(1);
        weights.updateTargets(table, new TargetWeights.RoundInputs(1, 10_000, 100, true, NOW));
        return routes.stream().map(Route::targetFraction).toList();
    }

    @Test
    void targetsAreProportionalToRates() {
        assertThat(targets(0.5, 0.25, 0.25)).containsExactly(0.5, 0.25, 0.25);
    }

    @Test
    void entryWithoutRateGetsFloor() {
        assertThat(targets(0.5, 0.5, 0)).containsExactly(0.5, 0.5, 0.02 / 3);
    }

    /** If all replicas are ejected, no route has a rate, and proxies still need a table. */
    @Test
    void entriesAreEqualWithoutRates() {
        assertThat(targets(0, 0, 0)).containsExactly(1.0 / 3, 1.0 / 3, 1.0 / 3);
    }

    @Test
    void tableWithoutRoutesHasWeightScaleOfOne() {
        RoutingTable empty = groupInEast(1, List.of()).tables().get(0);
        weights.updateTargets(empty, new TargetWeights.RoundInputs(0, 0, 0, true, NOW));
        assertThat(empty.weightScale()).isEqualTo(1);
    }

    /**
     * A proxy skips its largest entry after failures; the requests that this frees must not go to a
     * slow-starting replica.
     */
    @Test
    void slowStartingTargetIsBoundedByShareWithoutLargestEntry() {
        registry.update(NOW, List.of(endpoint(3, "east", Endpoint.Health.READY, NOW)), true);
        assertThat(targets(0.5, 0.1, 0.4).get(2)).isLessThan(0.3).isPositive();
    }
}
