package rockshift.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of tables, exclusion of void runs, and the mark of far projections. */
class CapacityReportTest {
    @TempDir private Path folder;

    private static ControllerSample sample(int replicas, int run, double share, boolean isVoid) {
        return new ControllerSample(
                new FleetShape(replicas, 2, 16, 3),
                run,
                share,
                0.01,
                0.01,
                1_000,
                2_000,
                10,
                20,
                84,
                70,
                71,
                Double.NaN,
                Double.NaN,
                0.5,
                16,
                0,
                0,
                3,
                1.25,
                isVoid,
                false);
    }

    private CapacityReport.Projection projection(String name) throws Exception {
        return new CapacityReport(folder)
                .projections().stream()
                        .filter(projection -> projection.name().equals(name))
                        .findFirst()
                        .orElseThrow();
    }

    @Test
    void sampleRoundTripsThroughItsRow() {
        ControllerSample sample = sample(300, 2, 0.25, true);
        assertThat(ControllerSample.parse(sample.row())).isEqualTo(sample);
        ControllerSample died =
                ControllerSample.died(new FleetShape(3_000, 12, 16, 3), 1, Double.NaN, 4, 1, 2.5);
        assertThat(ControllerSample.parse(died.row())).isEqualTo(died);
    }

    @Test
    void voidRunsAreLeftOutOfProjections() throws Exception {
        Files.write(
                folder.resolve("governor.csv"),
                List.of(
                        ControllerSample.HEADER,
                        sample(12, 1, 0.0112, false).row(),
                        sample(60, 1, 0.016, false).row(),
                        sample(120, 1, 0.022, false).row(),
                        sample(60, 2, 0.9, true).row()));
        CapacityReport.Projection core = projection("average governor: core");
        assertThat(core.fit().at(36).value()).isCloseTo(0.0136, within(1e-9));
        assertThat(core.factor()).isCloseTo(0.0136 / 0.037, within(1e-6));
        assertThat(core.row()).contains("holds: 0.368 of 0.0370").doesNotContain("far");
    }

    @Test
    void runFiguresAreFittedByControllersAndFarTargetsAreMarked() throws Exception {
        Files.write(
                folder.resolve("run.csv"),
                List.of(
                        "governors,changes,seed,change_rate,kill_rate,cut_seconds,void,"
                                + "figure,value",
                        "100,9,1,100.0,100.0,5,false,\"governor, bytes a second\",200.0",
                        "200,9,1,100.0,100.0,5,false,\"governor, bytes a second\",200.0",
                        "300,9,1,100.0,100.0,5,false,\"governor, bytes a second\",200.0",
                        "1300,9,1,100.0,100.0,5,true,\"governor, bytes a second\",90000.0",
                        "300,9,1,100.0,100.0,5,false,\"scale: 300 governors\","));
        CapacityReport.Projection bytes = projection("governor, bytes a second");
        assertThat(bytes.fit().at(1_300).value()).isCloseTo(200, within(1e-6));
        assertThat(bytes.row()).contains("far: 4.33 times");
    }
}
