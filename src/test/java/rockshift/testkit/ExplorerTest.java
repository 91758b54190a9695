package rockshift.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Deterministic simulation of the consensus code: the production code violates no invariant, and
 * each planted fault is detected.
 */
class ExplorerTest {
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void productionCodeViolatesNoInvariantInManySeeds(int members) {
        Explorer.Findings findings = Explorer.explore(1, 400, members, FaultInjection::new);
        assertThat(findings.violations()).extracting(SimulatedCluster.Result::violation).isEmpty();
        assertThat(findings.changes()).as("acknowledged changes").isGreaterThan(20_000);
    }

    @Test
    void sameSeedGivesSameRun() {
        SimulatedCluster.Result first =
                new SimulatedCluster(11, 3, new FaultInjection(), true).run();
        SimulatedCluster.Result second =
                new SimulatedCluster(11, 3, new FaultInjection(), true).run();
        assertThat(second.steps()).isEqualTo(first.steps());
        assertThat(second.acknowledgedChanges()).isEqualTo(first.acknowledgedChanges());
    }

    /**
     * The excluded faults cause violations too rarely for this test. How rare each fault is stands
     * in docs/measurements.
     */
    @ParameterizedTest
    @EnumSource(
            value = PlantedFault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"VOTE_NOT_SAVED", "OLD_TERM_COMMIT", "VOTE_DURING_LEADER_CONTACT"})
    void plantedFaultCausesViolation(PlantedFault fault) {
        assertThat(Explorer.findViolation(1, 3_000, fault.members(), fault::injection))
                .as("a seed in which " + fault + " causes a violation")
                .isPositive();
    }

    /**
     * Writes the table of docs/measurements when run with -Dtest=ExplorerTest -Dfaults.seeds=3000
     * -Dfaults.table=FILE.
     */
    @Test
    @EnabledIfSystemProperty(named = "faults.seeds", matches = "\\d+")
    void eachPlantedFaultCausesViolationInSomeSeed() throws IOException {
        long seeds = Long.getLong("faults.seeds");
        StringBuilder table = new StringBuilder("fault,members,seeds,found in,first words\n");
        for (PlantedFault fault : PlantedFault.values()) {
            Explorer.Findings found = Explorer.explore(1, seeds, fault.members(), fault::injection);
            String firstWords =
                    found.violations().isEmpty()
                            ? ""
                            : found.violations().get(0).violation().split(":")[0];
            table.append(fault)
                    .append(',')
                    .append(fault.members())
                    .append(',')
                    .append(seeds)
                    .append(',')
                    .append(found.violations().size())
                    .append(',')
                    .append(firstWords)
                    .append('\n');
            Files.writeString(Path.of(System.getProperty("faults.table")), table);
        }
        assertThat(table.toString()).doesNotContain("," + seeds + ",0,");
    }
}
