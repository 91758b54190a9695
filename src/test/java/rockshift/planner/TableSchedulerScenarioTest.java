package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.CHECKOUT;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.ready;

import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import rockshift.model.ClassSet;
import rockshift.planner.SentCommand.Binding;
import rockshift.settings.ClassSettings;

/** When joined proxies get their tables, and which tables these are. */
class TableSchedulerScenarioTest {
    /** Classes of the tables of a proxy where each of two classes has its own table. */
    private static final Set<ClassSet> SEPARATE_TABLES = Set.of(ClassSet.of(0), ClassSet.of(1));

    @Test
    void proxyIsNotBoundToTableWithoutEntries() {
        FakeController controller = FakeController.create();
        controller.listEndpoints(List.of());
        controller.joinProxy(0, "east", 5);
        controller.runTurn();
        assertThat(controller.commands()).noneMatch(Binding.class::isInstance);
        controller.changeEndpoints(TestEndpoints.readyIn("west", 1));
        controller.runFor(1.1);
        assertThat(controller.table(0)).containsOnlyKeys(1L);
        controller.joinProxy(2, "west", 5);
        assertThat(controller.runTurn().commands()).contains(new Binding(1, 2, ClassSet.of(0)));
    }

    /**
     * One zone had no replica for a class that must stay in its zone, and the proxies of all other
     * zones waited behind those of that zone.
     */
    @Test
    void zoneWithoutReplicasDoesNotDelayOthers() {
        FakeController controller =
                FakeController.with(
                        settings ->
                                settings.classes(
                                        List.of(
                                                ClassSettings.named(SEARCH)
                                                        .restrictedToOwnZone(true)
                                                        .build())));
        controller.joinProxy(0, "east", 5);
        controller.joinProxy(1, "west", 5);
        controller.changeEndpoints(ready(2), ready(4));
        assertThat(controller.runTurn().boundProxies()).containsExactly(1);
        controller.changeEndpoints(ready(1));
        assertThat(controller.runFor(1.1).boundProxies()).containsExactly(0, 1);
    }

    /**
     * Two tables of eight entries for each of 856 proxies occupied the channel for 3.1 s of a drain
     * grace of 3.9 s. If many proxies join at once, each first gets one provisional table for all
     * classes, and its other tables once no proxy waits.
     */
    @Test
    void manySimultaneousJoinsGetProvisionalTableFirst() {
        FakeController controller =
                FakeController.largeFleet(
                        settings ->
                                settings.classes(FakeController.classes(SEARCH, CHECKOUT))
                                        .drainGraceTicks(2 * SECOND));
        controller.runFor(0.7);
        assertThat(controller.boundProxies())
                .as("proxies bound after 0.7 s; full tables for all would take 2 s")
                .hasSizeGreaterThan(45);
        assertThat(controller.boundClasses().get(0))
                .as("classes of proxy 0, which joined while the channel was free")
                .isEqualTo(SEPARATE_TABLES);
        assertThat(controller.boundClasses().values())
                .anyMatch(classes -> classes.equals(Set.of(ClassSet.all())));
        controller.runFor(4);
        assertThat(controller.boundClasses().values())
                .hasSize(60)
                .allMatch(classes -> classes.equals(SEPARATE_TABLES));
        assertThat(controller.channel().longestQueueEntries()).isLessThan(750);
    }

    /**
     * A provisional table carries the retry mode of one class only; proxies use their default for
     * the others. If the default retries after any failure, a request of a class that must not run
     * twice could run twice.
     */
    @Test
    void noProvisionalTableIfDefaultRetryModeIsUnsafe() {
        for (int defaultRetryMode : List.of(0, 1, 2, 3)) {
            FakeController controller =
                    FakeController.largeFleet(
                            settings ->
                                    settings.classes(FakeController.classes(SEARCH, CHECKOUT))
                                            .drainGraceTicks(2 * SECOND)
                                            .defaultRetryMode(defaultRetryMode));
            controller.runFor(0.7);
            boolean safe = defaultRetryMode == 0 || defaultRetryMode == 1;
            assertThat(
                            controller.boundClasses().values().stream()
                                    .anyMatch(classes -> classes.contains(ClassSet.all())))
                    .as("provisional table with default retry mode %d", defaultRetryMode)
                    .isEqualTo(safe);
            assertThat(controller.runFor(4).boundClasses().values())
                    .hasSize(60)
                    .allMatch(classes -> classes.equals(SEPARATE_TABLES));
        }
    }

    /**
     * The last eight of 872 proxies waited behind removals for 1 s, and 4.2 s in total, with a
     * drain grace of 3.9 s.
     */
    @Test
    void joinMayUseMoreOfTheQueueTheLongerItWaits() {
        FakeController controller =
                FakeController.largeFleet(
                        settings -> settings.channelEntriesPerSecond(100).drainGraceTicks(SECOND));
        int first = controller.boundProxies().size();
        assertThat(first).as("proxies bound within the deferrable backlog").isLessThan(30);
        assertThat(controller.runFor(0.4).boundProxies().size())
                .as("proxies bound within half the queue limit")
                .isGreaterThan(first + 15);
        assertThat(controller.channel().longestQueueEntries()).isLessThan(760);
        assertThat(controller.runFor(0.2).channel().longestQueueEntries())
                .as("longest queue once joins are as urgent as removals")
                .isBetween(760.0, 910.0);
    }

    /**
     * The tables of a group without bound proxies were not filled while the channel was busy, and
     * all proxies that joined the group waited.
     */
    @Test
    void tablesWithoutBoundProxiesAreFilledWhileChannelIsFull() {
        FakeController controller =
                FakeController.largeFleet(settings -> settings.drainGraceTicks(SECOND)).runFor(3);
        int table = controller.tableNumberOf(0);
        for (int proxy = 0; proxy < 60; proxy++) {
            if (controller.tableNumberOf(proxy) == table) {
                controller.disconnectProxy(proxy);
            }
        }
        assertThat(controller.runFor(1.5).table(table)).isEmpty();
        for (int proxy = 0; proxy < 60; proxy++) {
            if (controller.tableNumberOf(proxy) != table) {
                controller.rejoinProxy(proxy, proxy % 2 == 0 ? "east" : "west", 3);
            }
        }
        controller.runTurn();
        controller.changeEndpoints(
                LongStream.rangeClosed(1, 12).mapToObj(TestEndpoints::gone).toList());
        assertThat(controller.runTurn().channel().queuedEntries())
                .as("queued entries, above the deferrable backlog")
                .isGreaterThan(350);
        controller.joinProxy(0, "east", 3);
        assertThat(controller.runTurn().table(table)).hasSizeGreaterThan(6);
    }
}
