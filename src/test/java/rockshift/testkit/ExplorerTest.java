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
 * The agreement in simulated worlds: the code that ships holds, and code with a fault is found out.
 */
class ExplorerTest {
    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void noViolationInManySeeds(int members) {
        Explorer.Findings findings = Explorer.explore(1, 400, members, FaultInjection::new);
        assertThat(findings.violations()).extracting(SimulatedCluster.Result::violation).isEmpty();
        assertThat(findings.changes()).as("changes acknowledged").isGreaterThan(20_000);
    }

    @Test
    void seedIsReproducible() {
        SimulatedCluster.Result once =
                new SimulatedCluster(11, 3, new FaultInjection(), true).run();
        SimulatedCluster.Result again =
                new SimulatedCluster(11, 3, new FaultInjection(), true).run();
        assertThat(again.steps()).isEqualTo(once.steps());
        assertThat(again.acknowledgedChanges()).isEqualTo(once.acknowledgedChanges());
    }

    /** How rare each is stands in docs/measurements; the rarest are looked for there only. */
    @ParameterizedTest
    @EnumSource(
            value = PlantedFault.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"VOTE_NOT_SAVED", "OLD_TERM_COMMIT", "DISLOYAL_UNDER_LEASE"})
    void plantedFaultIsFound(PlantedFault fault) {
        assertThat(Explorer.findViolation(1, 3_000, fault.members(), fault::injection))
                .as("a seed that shows " + fault)
                .isPositive();
    }

    /**
     * The table of docs/measurements, by command: -Dtest=ExplorerTest -Dfaults.seeds=3000
     * -Dfaults.table=FILE.
     */
    @Test
    @EnabledIfSystemProperty(named = "faults.seeds", matches = "\\d+")
    void plantedFaultsBySeedsThatFindThem() throws IOException {
        long seeds = Long.getLong("faults.seeds");
        StringBuilder table = new StringBuilder("fault,members,seeds,found in,first words\n");
        for (PlantedFault fault : PlantedFault.values()) {
            Explorer.Findings found = Explorer.explore(1, seeds, fault.members(), fault::injection);
            String words =
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
                    .append(words)
                    .append('\n');
            Files.writeString(Path.of(System.getProperty("faults.table")), table);
        }
        assertThat(table.toString()).doesNotContain("," + seeds + ",0,");
    }
}
