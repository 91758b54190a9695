package rockshift.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * A short run with members, relays, one real and some lightweight controllers, and each fault once.
 */
class ScaleRunTest {
    @Test
    void smallRunHasNoLostDisorderedOrStaleChanges() throws Exception {
        ScaleScenario scenario = new ScaleScenario(24, 1, 24, 3, 150, 3_000, 4_000, 0);
        try (ScaleRun run = new ScaleRun(scenario, System.err::println)) {
            ScaleRun.Outcome outcome = run.run();
            ScaleVerdict verdict = outcome.verdict();
            assertThat(verdict.examples()).isEmpty();
            assertThat(verdict.lost()).isZero();
            assertThat(verdict.disordered()).isZero();
            assertThat(verdict.stale()).isZero();
            assertThat(verdict.controllers()).isEqualTo(25);
            assertThat(verdict.changes()).isEqualTo(24);
            assertThat(outcome.summary())
                    .startsWith("scale: 25 governors, 24 changes, in force everywhere p50 ");
        }
    }
}
