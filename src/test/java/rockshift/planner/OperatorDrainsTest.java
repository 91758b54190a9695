package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.classes;
import static rockshift.planner.PolicyFixtures.registry;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class OperatorDrainsTest {
    private static final Map<Long, Long> ALL_OF_THREE =
            Map.of(1L, Long.MAX_VALUE, 2L, Long.MAX_VALUE, 3L, Long.MAX_VALUE);

    private static List<Long> acceptingAfter(
            Map<Long, Long> agreed, ReplicaRegistry registry, boolean restrictedToOwnZone) {
        OperatorDrains drains = new OperatorDrains(classes(restrictedToOwnZone));
        drains.replace(agreed);
        drains.applyOperatorDrains(registry, NOW);
        return registry.acceptingNewWork().stream().map(Replica::id).toList();
    }

    @Test
    void nothingIsDrainedWithoutReplicas() {
        assertThat(acceptingAfter(ALL_OF_THREE, registry(0), false)).isEmpty();
    }

    /** Draining all replicas would leave proxies without any. */
    @Test
    void lastReplicasAreNotDrained() {
        assertThat(acceptingAfter(ALL_OF_THREE, registry(3), false)).containsExactly(1L, 2L, 3L);
        assertThat(acceptingAfter(ALL_OF_THREE, registry(4), false)).containsExactly(4L);
    }

    @Test
    void classThatStaysInItsZoneKeepsReplicaInEachZone() {
        assertThat(acceptingAfter(ALL_OF_THREE, registry(4), true)).containsExactly(1L, 3L, 4L);
    }

    @Test
    void drainDoesNotApplyToLaterProcess() {
        Map<Long, Long> drainOfFormerProcess = Map.of(1L, -1L);
        assertThat(acceptingAfter(drainOfFormerProcess, registry(2), false))
                .containsExactly(1L, 2L);
    }
}
