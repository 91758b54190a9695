package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.planner.SimulatedFleet.InjectedFault;

/**
 * Several controllers on one fleet, each with its own planner and its own delayed view of
 * discovery. Six of ten replicas are replaced, one controller fails meanwhile, and its proxies join
 * the others at once. The fleet counts what all controllers do together, independently of the
 * estimates of any planner.
 */
class FleetTest {
    private static final int SEEDS = 12;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void releaseWithControllerFailureCausesNoViolation(int seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, InjectedFault.NONE).run();
        assertThat(fleet.violations()).isEmpty();
        assertThat(fleet.usedReplicas())
                .as("replicas in use include all successors")
                .contains(101L, 102L, 103L, 104L, 105L, 106L);
    }

    /** Shows that the simulated fleet detects a fault of each kind, in every run. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void injectedFaultIsDetected(InjectedFault fault) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(new SimulatedFleet(seed, fault).run().violations())
                    .as("violations with seed " + seed)
                    .contains(fault.violation());
        }
    }
}
