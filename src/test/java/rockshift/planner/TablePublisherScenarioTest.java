package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.TestEndpoints.draining;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.ready;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import rockshift.planner.SentCommand.TableEntry;

/** Which table changes are sent to the proxies, and when. */
class TablePublisherScenarioTest {
    @Test
    void fluctuatingLoadsSendNoEntries() {
        FakeController controller = FakeController.create().start(4);
        controller.runSeconds(20, ReplicaReport.allHealthy(4, 20, 0.5));
        for (int second = 0; second < 20; second++) {
            double utilization = second % 2 == 0 ? 0.48 : 0.52;
            controller.runSecond(
                    healthy(1, 20, utilization),
                    healthy(2, 20, 0.5),
                    healthy(3, 20, 1 - utilization),
                    healthy(4, 20, 0.5));
            assertThat(controller.commands()).noneMatch(TableEntry.class::isInstance);
        }
    }

    /** Tables followed each rare request of a proxy, although every changed entry has a price. */
    @Test
    void tablesDoNotFollowSingleRequests() {
        FakeController controller =
                FakeController.largeFleet(
                                settings ->
                                        settings.reportPeriodTicks(2 * SECOND).commandPrice(0.02))
                        .runFor(3);
        Random random = new Random(1);
        int entries = 0;
        for (int round = 0; round < 40; round++) {
            for (int proxy = 0; proxy < 60; proxy++) {
                int requests = random.nextInt(3);
                if (requests > 0) {
                    controller.reportUsage(proxy, SEARCH, requests, 2 * SECOND);
                }
            }
            for (int second = 0; second < 2; second++) {
                controller.runFor(0.9);
                entries += controller.runFor(0.1).commands(TableEntry.class).size();
            }
        }
        assertThat(entries)
                .as("entries sent; 3,500 if only the last three periods counted")
                .isLessThan(3_200);
    }

    @Test
    void drainingReplicaIsRemovedInTheSameTurn() {
        FakeController controller = FakeController.create().start(3).runFor(1.5);
        controller.changeEndpoints(draining(2));
        controller.runTurn();
        assertThat(controller.commands()).contains(new TableEntry(0, 2), new TableEntry(1, 2));
        assertThat(controller.table(0)).doesNotContainKey(2L);
    }

    /**
     * In a release each update of discovery was published at once, with a few entries per message,
     * and the message overhead came to 45,000 entries in 5 s. Only removals are urgent; additions
     * wait for the next batch, or for a message that goes to the same table anyway.
     */
    @Test
    void removalsAreSentAtOnceAndAdditionsAreBatched() {
        FakeController controller = FakeController.largeFleet().runFor(3.5);
        controller.changeEndpoints(gone(7), ready(61), ready(62), ready(63));
        List<TableEntry> sent = controller.runTurn().commands(TableEntry.class);
        assertThat(sent).anyMatch(entry -> entry.replica() == 7);
        assertThat(sent)
                .filteredOn(entry -> entry.replica() >= 61 && entry.replica() <= 63)
                .allMatch(entry -> sent.contains(new TableEntry(entry.table(), 7)));
        assertThat(controller.runFor(1.1).tables().values())
                .anyMatch(entries -> entries.containsKey(62L));
    }

    /**
     * Each removal changed the sum of a table's weights, and so all other entries were sent again.
     */
    @Test
    void removalDoesNotResendOtherEntries() {
        FakeController controller = FakeController.create().start(8).runFor(2);
        controller.changeEndpoints(gone(2));
        assertThat(controller.runTurn().commands())
                .contains(new TableEntry(0, 2))
                .doesNotContain(new TableEntry(0, 1));
        for (int second = 0; second < 3; second++) {
            assertThat(controller.runFor(1).commands()).noneMatch(TableEntry.class::isInstance);
        }
    }
}
