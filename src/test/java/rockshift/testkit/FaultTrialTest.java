package rockshift.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short fault trial with real processes. The command line runs longer ones. */
class FaultTrialTest {
    @TempDir private Path folder;

    @Test
    void controllersUnderFaultsApplyEachChangeOnceInSameOrder() throws Exception {
        FaultTrial.Outcome outcome = new FaultTrial(folder, 3, 20, 4, line -> {}).run();
        assertThat(outcome.problems()).isEmpty();
        assertThat(outcome.passed()).as(outcome.summary()).isTrue();
        assertThat(outcome.faults()).isGreaterThan(2);
    }
}
