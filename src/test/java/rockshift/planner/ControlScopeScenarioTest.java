package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.TestEndpoints.draining;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.ready;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import rockshift.model.ControlScope;

/** Changes that a controller makes while it has no contact with most other controllers. */
class ControlScopeScenarioTest {
    @Test
    void removalsOnlyChangesNoWeightAndRemovesDrainingReplicas() {
        FakeController controller = FakeController.create().start(4).runFor(3);
        controller.setControlScope(ControlScope.REMOVALS_ONLY);
        Map<Long, Double> before = new TreeMap<>(controller.table(0));
        controller.runSeconds(
                10,
                healthy(1, 200, 0.9),
                healthy(2, 20, 0.2),
                healthy(3, 50, 0.5),
                healthy(4, 20, 0.9));
        assertThat(controller.table(0)).as("weights under REMOVALS_ONLY").isEqualTo(before);
        controller.changeEndpoints(draining(2));
        controller.runFor(2);
        before.remove(2L);
        assertThat(controller.table(0)).isEqualTo(before);
        controller.setControlScope(ControlScope.FULL);
        controller.runFor(3);
        assertThat(controller.table(0)).as("weights under FULL").isNotEqualTo(before);
    }

    /** If all replicas in the tables leave, new entries are required, too. */
    @Test
    void removalsOnlyAddsEntriesToOtherwiseEmptyTables() {
        FakeController controller = FakeController.create().start(2).runFor(3);
        controller.setControlScope(ControlScope.REMOVALS_ONLY);
        controller.changeEndpoints(ready(5), ready(6));
        controller.runFor(3);
        assertThat(controller.table(0)).containsOnlyKeys(1L, 2L);
        controller.changeEndpoints(gone(1), gone(2));
        controller.runFor(3);
        assertThat(controller.tables().values())
                .allSatisfy(entries -> assertThat(entries).containsOnlyKeys(5L, 6L));
    }

    @Test
    void scopeNoneChangesNothing() {
        FakeController controller = FakeController.create().start(4).runFor(3);
        controller.setControlScope(ControlScope.NONE);
        Map<Long, Double> before = new TreeMap<>(controller.table(0));
        controller.changeEndpoints(gone(2));
        controller.joinProxy(7, "east", 10);
        controller.runFor(5);
        assertThat(controller.table(0)).isEqualTo(before);
        assertThat(controller.boundProxies()).doesNotContain(7);
    }
}
