package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.ReplicaReport.allFailing;

import org.junit.jupiter.api.Test;

/** Properties of the planner as a whole. */
class PlannerScenarioTest {
    private static FakeController overloadedFleet() {
        return FakeController.create().start(2).runSeconds(15, allFailing(2, 60, 20, 1.0));
    }

    @Test
    void sameEventsGiveSameDecisions() {
        FakeController one = overloadedFleet();
        FakeController other = overloadedFleet();
        assertThat(one.tables()).isEqualTo(other.tables());
        assertThat(one.logLines()).isEqualTo(other.logLines());
    }
}
