package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.startedAt;

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
}
