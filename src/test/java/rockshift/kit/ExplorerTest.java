package rockshift.kit;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The agreement in simulated worlds: the code that ships holds, and code with a fault is found out. */
class ExplorerTest {
    @ParameterizedTest
    @org.junit.jupiter.params.provider.ValueSource(ints = {3, 5})
    void nothingIsBrokenInManyWorlds(int members) {
        Explorer.Findings findings = Explorer.explore(1, 400, members, Plant::new);
        assertThat(findings.broken()).extracting(World.Result::violation).isEmpty();
        assertThat(findings.changes()).as("changes acknowledged").isGreaterThan(20_000);
    }

    @Test
    void aSeedIsTheSameEveryTime() {
        World.Result once = new World(11, 3, new Plant(), true).run();
        World.Result again = new World(11, 3, new Plant(), true).run();
        assertThat(again.steps()).isEqualTo(once.steps());
        assertThat(again.changes()).isEqualTo(once.changes());
    }

    /** How rare each is stands in docs/measurements; the rarest are looked for there only. */
    @ParameterizedTest
    @EnumSource(value = Faults.class, mode = EnumSource.Mode.EXCLUDE, names = {"VOTE_NOT_SAVED", "OLD_TERM_COMMIT",
        "CLOCKS_BEYOND_DRIFT", "DISLOYAL_UNDER_LEASE", "LEASE_WITHOUT_QUORUM", "LEASE_AFTER_HAND_OVER", "READ_UNCONFIRMED"})
    void eachPlantedFaultIsFound(Faults fault) {
        assertThat(Explorer.until(1, 3_000, fault.members(), fault::plant)).as("a seed that shows " + fault).isPositive();
    }
}
