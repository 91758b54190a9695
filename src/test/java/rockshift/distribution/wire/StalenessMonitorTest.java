package rockshift.distribution.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Reports of a state that becomes stale and of its return to fresh. */
class StalenessMonitorTest {
    private final List<String> reports = new ArrayList<>();
    private final StalenessMonitor monitor =
            new StalenessMonitor(
                    3_000,
                    10_000,
                    age -> reports.add("stale " + age),
                    after -> reports.add("fresh " + after));

    @Test
    void eachChangeIsReportedOnceWithItsDuration() {
        monitor.check(11_000, 11_100);
        monitor.check(11_000, 14_000);
        assertThat(reports).isEmpty();
        monitor.check(11_000, 14_001);
        monitor.check(11_000, 14_500);
        assertThat(reports).containsExactly("stale 3001");
        monitor.check(15_000, 15_010);
        monitor.check(15_100, 15_200);
        assertThat(reports).containsExactly("stale 3001", "fresh 4010");
    }

    @Test
    void subscriberWithoutStateIsStaleAfterTheSameTime() {
        monitor.check(Long.MIN_VALUE, 13_000);
        assertThat(reports).isEmpty();
        monitor.check(Long.MIN_VALUE, 13_001);
        monitor.check(13_500, 13_600);
        assertThat(reports).containsExactly("stale 3001", "fresh 3600");
    }
}
