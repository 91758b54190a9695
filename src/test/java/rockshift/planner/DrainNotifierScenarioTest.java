package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.startedAt;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rockshift.planner.SentCommand.DrainNotice;

/** Which of the proxies that wait for their tables are sent drain notices. */
class DrainNotifierScenarioTest {
    /**
     * Removals waited behind joins, while the tables that proxies kept from their former controller
     * still contained departed replicas.
     */
    @Test
    void proxyWhoseTablesWouldComeTooLateIsNotified() {
        FakeController controller =
                FakeController.largeFleet(settings -> settings.drainGraceTicks(SECOND));
        controller.changeEndpoints(gone(7));
        controller.runFor(0.1);
        assertThat(controller.commands())
                .contains(new DrainNotice(7, true, 59))
                .doesNotContain(new DrainNotice(7, true, 0));
        controller.runFor(3);
        controller.changeEndpoints(startedAt(7, controller.nowTicks()));
        assertThat(controller.runTurn().commands()).contains(new DrainNotice(7, false, 59));
    }

    /** Needless notices take entries that tables need. */
    @Test
    void proxyWhoseTablesComeInTimeIsNotNotified() {
        FakeController controller =
                FakeController.largeFleet(settings -> settings.drainGraceTicks(6 * SECOND));
        controller.changeEndpoints(gone(7));
        controller.runFor(0.1);
        assertThat(controller.commands()).noneMatch(DrainNotice.class::isInstance);
    }

    /**
     * Four of five controllers failed during a release, and all proxies joined the last one. Each
     * was notified of every departed replica, again every 0.5 s, and the notices were not counted:
     * 17,243 entries were queued in a channel for 17,200.
     */
    @Test
    void noticesToAllWaitingProxiesFitTheChannel() {
        FakeController controller =
                FakeController.largeFleet(settings -> settings.drainGraceTicks(2 * SECOND));
        for (int i = 0; i < 4; i++) {
            controller.changeEndpoints(
                    LongStream.rangeClosed(10 * i + 1, 10 * i + 10)
                            .mapToObj(TestEndpoints::draining)
                            .toList());
            for (int proxy = 0; proxy < 60; proxy++) {
                controller.rejoinProxy(proxy, proxy % 2 == 0 ? "east" : "west", 3);
            }
            controller.runTurn().runFor(0.5);
        }
        assertThat(controller.channel().longestQueueEntries()).isBetween(500.0, 1500.0);
    }

    /**
     * A zone came back, and the end of each notice was a message of its own: they took more than
     * the quota, and a removal waited until the window had passed.
     */
    @Test
    void withdrawnNoticesLeaveTheQuotaToRemovals() {
        FakeController controller =
                FakeController.with(
                                settings ->
                                        settings.drainGraceTicks(SECOND)
                                                .longestTransitTicks(SECOND)
                                                .messageQuota(20)
                                                .messageQuotaWindowTicks(10 * SECOND))
                        .start(40, 10, 10);
        controller.runFor(12);
        controller.changeEndpoints(
                LongStream.rangeClosed(1, 18).mapToObj(TestEndpoints::gone).toList());
        for (int proxy = 0; proxy < 10; proxy += 2) {
            controller.rejoinProxy(proxy, "east", 10);
        }
        controller.runTurn().runFor(3);
        Map<Integer, Integer> messages = new TreeMap<>();
        for (long replica = 1; replica <= 18; replica++) {
            controller.changeEndpoints(startedAt(replica, controller.nowTicks()));
            for (int step = 0; step < 3; step++) {
                controller.runFor(0.1);
                controller.commands(DrainNotice.class).stream()
                        .map(DrainNotice::proxy)
                        .distinct()
                        .forEach(proxy -> messages.merge(proxy, 1, Integer::sum));
            }
        }
        assertThat(messages.values()).as("messages with notices in 5.4 s").isNotEmpty();
        assertThat(messages.values())
                .allSatisfy(count -> assertThat(count).isLessThanOrEqualTo(12));
        controller.changeEndpoints(gone(30));
        controller.runTurn();
        assertThat(controller.tables().values())
                .as("tables in the turn after a replica is gone")
                .noneMatch(entries -> entries.containsKey(30L));
    }
}
