package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.planner.SimulatedFleet.InjectedFault;

/**
 * Several controllers on one fleet, each with its own planner and its own late view of discovery:
 * six in ten replicas are replaced, one controller fails on the way, and its proxies go to the
 * others at once. What all controllers do together is counted by the fleet, apart from what any
 * planner estimates.
 */
class FleetTest {
    private static final int SEEDS = 12;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void controllersTogetherKeepTheRulesThatEachKeeps(int seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, InjectedFault.NONE).run();
        assertThat(fleet.violations()).isEmpty();
        assertThat(fleet.usedReplicas())
                .as("all successors are in use")
                .contains(101L, 102L, 103L, 104L, 105L, 106L);
    }

    /** Shows that the count finds what is wrong, for a fault of each kind and in every run. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
    void findsTheViolationsOfAnInjectedFault(InjectedFault fault) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(new SimulatedFleet(seed, fault).run().violations())
                    .as("seed " + seed)
                    .contains(fault.violation());
        }
    }
}
