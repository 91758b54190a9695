package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.startedAt;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rockshift.planner.SentCommand.DrainNotice;

/** Which proxies that wait for their tables are notified of replicas to avoid. */
class DrainNotifierScenarioTest {
    /**
     * Removals waited behind joins, and the tables that proxies kept from their former controller
     * went on naming replicas that had left.
     */
    @Test
    void notifiesProxiesWhoseTablesWouldComeTooLate() {
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

    /** Entries for needless notices are missing for tables. */
    @Test
    void doesNotNotifyProxiesWhoseTablesComeInTime() {
        FakeController controller =
                FakeController.largeFleet(settings -> settings.drainGraceTicks(6 * SECOND));
        controller.changeEndpoints(gone(7));
        controller.runFor(0.1);
        assertThat(controller.commands()).noneMatch(DrainNotice.class::isInstance);
    }

    /**
     * Four of five controllers failed during a release, and all proxies came to the last one. Each
     * was notified of every replica that left, again each half second, and nobody counted that:
     * 17,243 entries waited in a channel for 17,200.
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
