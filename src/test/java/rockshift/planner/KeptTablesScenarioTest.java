package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.draining;
import static rockshift.planner.TestEndpoints.gone;
import static rockshift.planner.TestEndpoints.ready;
import static rockshift.planner.TestEndpoints.startedAt;

import java.util.Map;
import org.junit.jupiter.api.Test;
import rockshift.planner.SentCommand.DrainNotice;

/** Proxies that join while the controller does not know what operators agreed on. */
class KeptTablesScenarioTest {
    private static FakeController withoutAgreedState() {
        FakeController controller =
                FakeController.with(settings -> settings.noReplicaLimitTicks(5 * SECOND));
        controller.setAgreedStateKnown(false);
        return controller;
    }

    private static FakeController withKeptTables() {
        FakeController controller = withoutAgreedState();
        controller.joinProxyWithTables(0, "east", 10);
        return controller.start(4, 0, 10);
    }

    /** Guards against tables with a replica that operators hold, from a controller without news. */
    @Test
    void proxyWithOrderedTablesIsBoundOnceTheHoldsAreKnown() {
        FakeController controller = withKeptTables().runFor(60);
        assertThat(controller.boundProxies()).isEmpty();
        controller.agreeOnDrains(1, Map.of(2L, Long.MAX_VALUE));
        controller.setAgreedStateKnown(true);
        controller.runFor(1);
        assertThat(controller.boundProxies()).containsExactly(0);
        assertThat(controller.tableOf(0)).containsOnlyKeys(1L, 3L, 4L);
    }

    /** Guards against requests to a drained replica, as a kept table is not replaced in time. */
    @Test
    void proxyThatKeepsItsTablesIsToldOfDrainsWithinTheGrace() {
        FakeController controller = withKeptTables().runFor(10);
        controller.changeEndpoints(draining(3));
        boolean told = false;
        for (int step = 0; step < 20; step++) {
            controller.runFor(0.1);
            told |= controller.commands().contains(new DrainNotice(3, true, 0));
        }
        assertThat(told).as("told within 2 s of a grace of 3 s").isTrue();
        assertThat(controller.boundProxies()).isEmpty();
    }

    /**
     * Guards against a proxy that is left without a replica once all that it knew have gone. One of
     * the four may be held, so that the proxy never had it.
     */
    @Test
    void proxyIsBoundOnceTheReplicasOfItsTimeHaveDeparted() {
        FakeController controller = withKeptTables().runFor(5);
        controller.changeEndpoints(ready(5), ready(6), gone(1), gone(2));
        controller.runFor(3);
        assertThat(controller.boundProxies()).isEmpty();
        controller.changeEndpoints(gone(3));
        controller.runFor(3);
        assertThat(controller.tableOf(0)).containsOnlyKeys(4L, 5L, 6L);
    }

    /** Guards against a rolling restart: each replica was announced as draining and came back. */
    @Test
    void proxyIsBoundOnceTheReplicasHaveRestarted() {
        FakeController controller = withKeptTables().runFor(5);
        for (long replica = 1; replica <= 3; replica++) {
            assertThat(controller.boundProxies()).isEmpty();
            controller.changeEndpoints(draining(replica));
            controller.runFor(3);
            controller.changeEndpoints(startedAt(replica, controller.nowTicks()));
            controller.runFor(1);
        }
        assertThat(controller.boundProxies()).containsExactly(0);
    }

    /** Guards against a proxy whose tables, unknown here, lead to no replica that works. */
    @Test
    void proxyThatServesNothingIsBound() {
        FakeController controller = withKeptTables().runFor(5);
        controller.reportUsage(0, FakeController.SEARCH, 20, 3, SECOND);
        controller.runFor(1);
        assertThat(controller.boundProxies()).isEmpty();
        controller.reportUsage(0, FakeController.SEARCH, 20, 20, SECOND);
        controller.runFor(1);
        assertThat(controller.boundProxies()).containsExactly(0);
    }

    /** Guards against a proxy that has just started and gets no table at all. */
    @Test
    void proxyWithoutOrderedTablesIsBoundWithinTheLimit() {
        FakeController controller = withoutAgreedState().start(4);
        controller.runFor(2);
        assertThat(controller.boundProxies()).isEmpty();
        controller.runFor(1);
        assertThat(controller.boundProxies()).containsExactly(0, 1);
    }

    /**
     * Guards against an isolated controller that orders a table for a proxy which serves its
     * requests with the one that it started with.
     */
    @Test
    void proxyWithoutOrderedTablesThatServesRequestsIsNotBound() {
        FakeController controller = withoutAgreedState().start(4);
        controller.runSeconds(
                20, ReplicaReport.healthy(1, 20, 0.2), ReplicaReport.healthy(2, 20, 0.2));
        assertThat(controller.boundProxies()).isEmpty();
        controller.runFor(3);
        assertThat(controller.boundProxies()).containsExactly(0, 1);
    }

    /** The entries of a folder may not be committed, so what is known replaces them. */
    @Test
    void stateOfTheSameVersionReplacesTheOneFromTheFolder() {
        FakeController controller = withKeptTables();
        controller.agreeOnDrains(0, Map.of(2L, Long.MAX_VALUE));
        controller.runFor(1);
        controller.agreeOnDrains(0, Map.of());
        controller.setAgreedStateKnown(true);
        controller.runFor(1);
        assertThat(controller.tableOf(0)).containsOnlyKeys(1L, 2L, 3L, 4L);
    }
}
