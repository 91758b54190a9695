package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.TestEndpoints.startedAt;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import rockshift.settings.ClassSettings;

/** Replicas that operators drain until they restart, or hold until operators release them. */
class OperatorDrainsScenarioTest {
    /** Last start time of a hold, which applies to every start. */
    private static final long EVERY_START = Long.MAX_VALUE;

    /** A drain applies to the process that ran then; a hold applies to every later one, too. */
    @Test
    void drainEndsWithRestartAndHoldEndsWithRelease() {
        FakeController controller = FakeController.create().start(4).runFor(3);
        controller.agreeOnDrains(1, Map.of(2L, 0L, 3L, EVERY_START));
        controller.runTurn();
        assertThat(controller.tables().values())
                .allSatisfy(entries -> assertThat(entries).containsOnlyKeys(1L, 4L));
        controller.agreeOnDrains(1, Map.of());
        controller.runTurn();
        assertThat(controller.table(0))
                .as("entries after a version that is not newer")
                .containsOnlyKeys(1L, 4L);
        controller.changeEndpoints(
                startedAt(2, controller.nowTicks()), startedAt(3, controller.nowTicks()));
        controller.runFor(3);
        assertThat(controller.table(0))
                .as("entries after restarts: replica 2 was drained, replica 3 is held")
                .containsOnlyKeys(1L, 2L, 4L);
        controller.agreeOnDrains(2, Map.of());
        controller.runFor(3);
        assertThat(controller.table(0)).containsOnlyKeys(1L, 2L, 3L, 4L);
    }

    /**
     * Operators held all replicas. Some must be left, in each zone if a class must stay in its
     * zone.
     */
    @Test
    void lastReplicasAreNotDrained() {
        FakeController controller = FakeController.create().start(3).runFor(3);
        controller.agreeOnDrains(1, Map.of(1L, EVERY_START, 2L, EVERY_START, 3L, EVERY_START));
        controller.runFor(3);
        assertThat(controller.table(0)).containsOnlyKeys(1L, 2L, 3L);
        FakeController zonal =
                FakeController.with(
                                settings ->
                                        settings.classes(
                                                List.of(
                                                        ClassSettings.named(SEARCH)
                                                                .restrictedToOwnZone(true)
                                                                .build())))
                        .start(3)
                        .runFor(3);
        zonal.agreeOnDrains(1, Map.of(2L, EVERY_START, 1L, EVERY_START));
        zonal.runFor(3);
        assertThat(zonal.tableOf(1))
                .as("entries in the west, which has only replica 2")
                .containsOnlyKeys(2L);
        assertThat(zonal.tableOf(0)).containsOnlyKeys(3L);
    }
}
