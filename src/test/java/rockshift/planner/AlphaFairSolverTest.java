package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static rockshift.planner.PolicyFixtures.classes;
import static rockshift.planner.PolicyFixtures.groupInEast;
import static rockshift.planner.PolicyFixtures.registry;
import static rockshift.planner.PolicyFixtures.replicas;

import java.util.List;
import org.junit.jupiter.api.Test;

class AlphaFairSolverTest {
    private final AlphaFairSolver solver =
            new AlphaFairSolver(new RouteEligibility(classes(false)));
    private final AlphaFairSolver zoneBoundSolver =
            new AlphaFairSolver(new RouteEligibility(classes(true)));

    /** One table with all demand, and routes to replicas with these capacities. */
    private static ActiveRoutes routes(double... capacities) {
        ReplicaRegistry registry = registry(capacities.length);
        for (int i = 0; i < capacities.length; i++) {
            registry.get(i + 1).setCapacity(capacities[i]);
        }
        ProxyGroup group = groupInEast(1, replicas(registry));
        group.tables().get(0).setDemandShare(1);
        return ActiveRoutes.collect(group.tables(), registry.all());
    }

    private static List<Double> solve(AlphaFairSolver solver, ActiveRoutes routes) {
        for (int round = 0; round < 20; round++) {
            solver.warmStart(routes.tables());
            solver.solve(routes, 0);
            routes.replicas().forEach(Replica::beginCapacityRound);
            routes.tables().forEach(RoutingTable::resetDemand);
            routes.tables().get(0).setDemandShare(1);
        }
        return routes.tables().get(0).routes().stream().map(Route::linkCopy).toList();
    }

    @Test
    void solveWithoutTablesDoesNothing() {
        solver.warmStart(List.of());
        solver.solve(ActiveRoutes.NONE, 0.5);
        assertThat(AlphaFairSolver.penalty(List.of())).isEqualTo(1);
    }

    @Test
    void singleTableGetsCapacityOfEachReplica() {
        List<Double> rates = solve(solver, routes(0.75, 0.25));
        assertThat(rates.get(0)).isCloseTo(0.75, within(1e-6));
        assertThat(rates.get(1)).isCloseTo(0.25, within(1e-6));
    }

    @Test
    void replicaWithoutCapacityGetsRateOfZero() {
        assertThat(solve(solver, routes(0, 0))).containsExactly(0.0, 0.0);
    }

    @Test
    void classThatStaysInItsZoneGetsRateOfZeroElsewhere() {
        List<Double> rates = solve(zoneBoundSolver, routes(0.5, 0.5));
        assertThat(rates.get(0)).isCloseTo(0.5, within(1e-6));
        assertThat(rates.get(1)).as("rate of the replica in the west").isZero();
    }

    @Test
    void ejectedReplicaGetsRateOfZero() {
        ActiveRoutes routes = routes(0.5, 0.5);
        routes.replicas().get(0).ownZoneObservations().ejection().begin(1);
        assertThat(solve(solver, routes).get(0)).isZero();
    }
}
