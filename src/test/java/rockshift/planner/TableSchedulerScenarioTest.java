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

/** When proxies that joined get their tables, and in which form. */
class TableSchedulerScenarioTest {
    /** What a proxy is bound for where each of two classes has a table of its own. */
    private static final Set<ClassSet> EACH_OF_TWO = Set.of(ClassSet.of(0), ClassSet.of(1));

    @Test
    void bindsNoProxyToATableWithoutEntries() {
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
     * A class that must stay in its zone had no replica in one zone, and the proxies of all other
     * zones waited behind those of that one.
     */
    @Test
    void aZoneWithoutReplicasHoldsUpNoOther() {
        FakeController controller =
                FakeController.with(
                        settings ->
                                settings.classes(
                                        List.of(
                                                ClassSettings.named(SEARCH)
                                                        .staysInZone(true)
                                                        .build())));
        controller.joinProxy(0, "east", 5);
        controller.joinProxy(1, "west", 5);
        controller.changeEndpoints(ready(2), ready(4));
        assertThat(controller.runTurn().boundProxies()).containsExactly(1);
        controller.changeEndpoints(ready(1));
        assertThat(controller.runFor(1.1).boundProxies()).containsExactly(0, 1);
    }

    /**
     * Two tables of eight entries for each of 856 proxies took 3.1 s of the channel, of a drain
     * grace of 3.9 s. Where many proxies join at once, each first gets one provisional table for
     * all classes; the others follow once no proxy waits.
     */
    @Test
    void manyJoinsAtOnceGetAProvisionalTableForAllClassesFirst() {
        FakeController controller =
                FakeController.largeFleet(
                        settings ->
                                settings.classes(FakeController.classes(SEARCH, CHECKOUT))
                                        .drainGraceTicks(2 * SECOND));
        controller.runFor(0.7);
        assertThat(controller.boundProxies())
                .as("full tables for all would take two seconds")
                .hasSizeGreaterThan(45);
        assertThat(controller.boundClasses().get(0))
                .as("joined while the channel was free")
                .isEqualTo(EACH_OF_TWO);
        assertThat(controller.boundClasses().values())
                .anyMatch(classes -> classes.equals(Set.of(ClassSet.all())));
        controller.runFor(4);
        assertThat(controller.boundClasses().values())
                .hasSize(60)
                .allMatch(classes -> classes.equals(EACH_OF_TWO));
        assertThat(controller.channel().longestQueueEntries()).isLessThan(750);
    }

    /**
     * A provisional table carries the retry mode of one class only; proxies would retry the others
     * by their default. Where that is a retry after any failure, a class that must not run twice
     * might.
     */
    @Test
    void noProvisionalTableWhereTheDefaultRetryModeIsUnsafe() {
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
                    .as("retry mode %d", defaultRetryMode)
                    .isEqualTo(safe);
            assertThat(controller.runFor(4).boundClasses().values())
                    .hasSize(60)
                    .allMatch(classes -> classes.equals(EACH_OF_TWO));
        }
    }

    /**
     * The last eight of 872 proxies waited behind removals for a second, 4.2 s of a drain grace of
     * 3.9 s in all.
     */
    @Test
    void theLongerAJoinWaitsTheMoreOfTheQueueItMayUse() {
        FakeController controller =
                FakeController.largeFleet(
                        settings -> settings.channelEntriesPerSecond(100).drainGraceTicks(SECOND));
        int first = controller.boundProxies().size();
        assertThat(first).as("what may be deferred").isLessThan(30);
        assertThat(controller.runFor(0.4).boundProxies().size())
                .as("up to half the queue limit")
                .isGreaterThan(first + 15);
        assertThat(controller.channel().longestQueueEntries()).isLessThan(760);
        assertThat(controller.runFor(0.2).channel().longestQueueEntries())
                .as("then as urgent as a removal")
                .isBetween(760.0, 910.0);
    }

    /**
     * The tables of a group that no proxy was bound to were not filled while the channel was busy,
     * and all who joined the group waited.
     */
    @Test
    void fillsTablesThatNobodyHoldsHoweverFullTheChannelIs() {
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
                .as("more than may be deferred")
                .isGreaterThan(350);
        controller.joinProxy(0, "east", 3);
        assertThat(controller.runTurn().table(table)).hasSizeGreaterThan(6);
    }
}
