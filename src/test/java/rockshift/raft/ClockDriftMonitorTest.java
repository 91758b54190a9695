package rockshift.raft;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

/** Only drift that is proven by the responses is reported. */
class ClockDriftMonitorTest {
    private static final long SPAN_TICKS = 100_000;

    private final ClockDriftMonitor monitor = new ClockDriftMonitor();

    @Test
    void equalClocksShowNoDrift() {
        monitor.record(0, 10, 5);
        monitor.record(SPAN_TICKS + 10, SPAN_TICKS + 20, SPAN_TICKS + 15);
        assertThat(monitor.driftRatio()).isZero();
    }

    /** A follower's clock runs a tenth too fast: for this follower a lease would end too early. */
    @Test
    void fastClockIsDetectedByTwoResponsesFarApart() {
        monitor.record(0, 0, 0);
        monitor.record(SPAN_TICKS, SPAN_TICKS, SPAN_TICKS + SPAN_TICKS / 10);
        assertThat(monitor.driftRatio()).isCloseTo(0.1, within(1e-9));
    }

    @Test
    void slowClockIsDetectedByTwoResponsesFarApart() {
        monitor.record(0, 0, 0);
        monitor.record(SPAN_TICKS, SPAN_TICKS, SPAN_TICKS / 2);
        assertThat(monitor.driftRatio()).isCloseTo(1, within(1e-9));
    }

    /** A response with a long round trip could be taken for a fast clock, but proves nothing. */
    @Test
    void driftWithinTheRoundTripTimeIsNotReported() {
        monitor.record(0, 2_000, 0);
        monitor.record(SPAN_TICKS + 2_000, SPAN_TICKS + 4_000, SPAN_TICKS + 4_000);
        assertThat(monitor.driftRatio()).isZero();
    }

    @Test
    void responsesCloseTogetherAreNotCompared() {
        monitor.record(0, 0, 0);
        monitor.record(SPAN_TICKS - 1, SPAN_TICKS - 1, 3 * SPAN_TICKS);
        assertThat(monitor.driftRatio()).isZero();
    }

    /** A follower restarts, and its monotonic clock with it: the comparison must start again. */
    @Test
    void restartedClockIsNotReportedAsDrift() {
        monitor.record(0, 0, 5 * SPAN_TICKS);
        monitor.record(2 * SPAN_TICKS, 2 * SPAN_TICKS, 0);
        monitor.record(4 * SPAN_TICKS, 4 * SPAN_TICKS, 2 * SPAN_TICKS);
        assertThat(monitor.driftRatio()).isZero();
    }
}
