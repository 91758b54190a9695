package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.gone;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rockshift.planner.SentCommand.Acknowledgement;
import rockshift.planner.SentCommand.TableEntry;
import rockshift.settings.ClassSettings;

/**
 * Changes that are deferred so that the channel and the message quotas have room for urgent ones.
 */
class ChannelPacerScenarioTest {
    @Test
    void fullChannelDefersAdditionsButNotRemovals() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.channelQueueLimitEntries(24)
                                                .channelEntriesPerSecond(10))
                        .start(3);
        controller.changeEndpoints(TestEndpoints.readyIn("west", 9));
        controller.runFor(1);
        assertThat(controller.table(0))
                .as("entries while the channel is over half full")
                .doesNotContainKey(9L);
        controller.changeEndpoints(gone(2));
        controller.runTurn();
        assertThat(controller.commands()).contains(new TableEntry(0, 2));
    }

    @Test
    void deferrableBatchesLeaveQuotaForRemovals() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.messageQuota(10)
                                                .messageQuotaWindowTicks(10 * SECOND))
                        .start(3);
        for (int i = 0; i < 9; i++) {
            controller.changeEndpoints(TestEndpoints.readyIn("west", 20 + i));
            controller.runFor(1);
        }
        assertThat(controller.table(0))
                .as("entries after six of ten messages")
                .doesNotContainKey(28L);
        controller.changeEndpoints(gone(2));
        controller.runTurn();
        assertThat(controller.commands()).contains(new TableEntry(0, 2));
    }

    /** A proxy had used up its quota, and no removal could reach any proxy of its group. */
    @Test
    void continuousRemovalsAreSentInTimeAndWithinQuota() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.messageQuota(10)
                                                .messageQuotaWindowTicks(10 * SECOND))
                        .start(80);
        int messages = 0;
        for (int i = 1; i <= 70; i++) {
            controller.changeEndpoints(gone(i));
            for (int turn = 0; turn < 3; turn++) {
                controller.runFor(0.1);
                messages += controller.commands(Acknowledgement.class).isEmpty() ? 0 : 1;
            }
            if (i > 10) {
                assertThat(controller.table(0))
                        .as("entries 3 s after a replica was gone")
                        .doesNotContainKey(i - 10L);
            }
        }
        assertThat(messages).as("messages in 21 s").isLessThanOrEqualTo(22);
    }

    /**
     * A turn that changes the tables of more classes than fit one message takes two messages, and
     * was counted as one.
     */
    @Test
    void turnOfSeveralMessagesWaitsUntilQuotaHasRoomForAll() {
        FakeController controller =
                FakeController.with(
                        settings ->
                                settings.classes(
                                                IntStream.range(0, 70)
                                                        .mapToObj(number -> "class-" + number)
                                                        .map(ClassSettings::named)
                                                        .map(ClassSettings.Builder::build)
                                                        .toList())
                                        .messageQuota(3)
                                        .messageQuotaWindowTicks(10 * SECOND)
                                        .channelQueueLimitEntries(50_000)
                                        .channelEntriesPerSecond(50_000));
        controller.setMessagesPerTurn(2);
        controller.start(3).runFor(6);
        controller.changeEndpoints(gone(1));
        assertThat(controller.runTurn().commands())
                .as("commands after two messages of a quota of three")
                .noneMatch(TableEntry.class::isInstance);
        assertThat(controller.runFor(5).tables().values())
                .hasSize(140)
                .noneMatch(entries -> entries.containsKey(1L));
    }

    /** The channel ran at less than half its rate, and removals continued to fill it. */
    @Test
    void unacknowledgedEntriesCountAsQueued() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.channelQueueLimitEntries(120)
                                                .channelEntriesPerSecond(1_000))
                        .start(20);
        controller.setAcknowledging(false);
        int entries = 2 * (20 + 2 + 3 + 1);
        for (long replica = 1; replica < 20; replica++) {
            controller.changeEndpoints(gone(replica));
            controller.runFor(0.5);
            entries += controller.commands(TableEntry.class).size();
        }
        assertThat(entries).isLessThanOrEqualTo(120);
        controller.setAcknowledging(true);
        controller.runFor(3);
        assertThat(controller.table(0)).containsOnlyKeys(20L);
    }

    /**
     * Machines disappeared without closing their connections, and what their proxies never
     * acknowledged kept all other proxies waiting.
     */
    @Test
    void unresponsiveProxiesDoNotDelayOthers() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.channelQueueLimitEntries(400)
                                                .channelEntriesPerSecond(1_000))
                        .start(8, 6, 10);
        controller.runFor(2);
        controller.stopAcknowledging(2, 3, 4, 5);
        for (long replica = 8; replica > 2; replica--) {
            controller.changeEndpoints(gone(replica));
            controller.runFor(3);
        }
        for (int i = 0; i < 10; i++) {
            controller.changeEndpoints(TestEndpoints.readyIn("east", 20 + i));
            controller.runFor(3);
        }
        controller.joinProxy(6, "east", 10);
        controller.runFor(2);
        assertThat(controller.boundProxies()).contains(6);
    }
}
