package rockshift.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * One real controller with a small simulated fleet: usage is measured, all proxies get tables, and
 * no files remain.
 */
class ControllerRunTest {
    @TempDir private Path folder;

    @Test
    void measuresUsageOfControllerWithSmallFleet() throws Exception {
        ControllerSample sample =
                ControllerRun.measure(
                        new FleetShape(12, 2, 6, 2),
                        0,
                        true,
                        new ControllerRun.Times(60_000, 500, 2_500),
                        folder);
        assertThat(sample.tables()).isEqualTo(6);
        assertThat(sample.connectionsLost()).isZero();
        assertThat(sample.reportsDropped()).isZero();
        assertThat(sample.coreShare()).isBetween(0.0, 2.0);
        assertThat(sample.messagesIn())
                .as("messages a second: each replica and each class of each proxy once in 2 s")
                .isBetween(8.0, 40.0);
        assertThat(sample.peakMegabytes()).isBetween(20.0, 200.0);
        assertThat(sample.residentMegabytes()).isLessThanOrEqualTo(sample.peakMegabytes());
        assertThat(folder).as("folder after the run").isEmptyDirectory();
    }
}
