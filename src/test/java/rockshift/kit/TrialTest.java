package rockshift.kit;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real processes for a little while; the long trial is a command. */
class TrialTest {
    @TempDir Path folder;

    @Test
    void killedStoppedAndCutGovernorsApplyEachChangeOnceInOneOrder() throws Exception {
        Trial.Outcome outcome = new Trial(folder, 3, 20, 4, line -> {}).run();
        assertThat(outcome.troubles()).isEmpty();
        assertThat(outcome.held()).as(outcome.line()).isTrue();
        assertThat(outcome.faults()).isGreaterThan(2);
    }
}
