package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Failures of members, relays and links in a simulated fleet. */
class FleetFailureTest {
    private static final long SEED = 5;
    private DistributionSimulation simulation;

    private void startSimulation(int members, int relays, int controllers, Limits limits) {
        simulation =
                new DistributionSimulation(
                        SEED,
                        new DistributionSimulation.Size(members, relays, controllers),
                        limits);
        for (int number = 0; number < 20; number++) {
            simulation.commit();
        }
        simulation.run(4_000);
        simulation.checker.checkConverged();
        assertThat(simulation.checker.violations()).isEmpty();
    }

    @AfterEach
    void assertInvariants() {
        simulation.checker.checkConverged();
        assertThat(simulation.checker.violations()).isEmpty();
    }

    /**
     * A relay is paused for a minute, as by a long garbage collection, and resumes with its old
     * state. Until it has caught up it must not report that state as fresh.
     */
    @Test
    void relayPausedForAMinuteDoesNotReportItsOldStateAsFresh() {
        startSimulation(1, 2, 8, DistributionSimulationTest.limits());
        SimulatedRelay relay = simulation.relays.get(0);
        Revision before = relay.store().current();
        simulation.pause(relay.host, 60_000);
        for (int second = 0; second < 60; second++) {
            simulation.run(1_000);
            simulation.commit();
        }
        List<DistributionMessage.Heartbeat> heartbeats = new ArrayList<>();
        simulation.network.interceptWith(
                (from, to, message) -> {
                    if (from == relay.host
                            && message instanceof DistributionMessage.Heartbeat heartbeat
                            && heartbeat.current().equals(before)) {
                        heartbeats.add(heartbeat);
                    }
                    return message;
                });
        simulation.run(30);
        assertThat(relay.relay().subscriber().ageMillis(simulation.now())).isGreaterThan(59_000);
        assertThat(heartbeats).allMatch(heartbeat -> heartbeat.staleMillis() > 59_000);
        simulation.run(10_000);
        assertThat(relay.store().current().number()).isEqualTo(simulation.history.latest());
    }

    /**
     * A relay is partitioned from the members in both directions and still answers its controllers.
     * They must detect that its state is stale and move to the other relay.
     */
    @Test
    void controllerLeavesARelayThatIsPartitionedFromTheMembers() {
        startSimulation(1, 2, 8, DistributionSimulationTest.limits());
        SimulatedRelay relay = simulation.relays.get(0);
        long subscribers =
                simulation.controllers.stream()
                        .filter(each -> each.link().server == relay.host)
                        .count();
        assertThat(subscribers).isPositive();
        simulation.network.partition(
                simulation.members.get(0).host, relay.host, simulation.now() + 20_000);
        simulation.network.partition(
                relay.host, simulation.members.get(0).host, simulation.now() + 20_000);
        simulation.run(5_000);
        assertThat(simulation.controllers).allMatch(each -> each.link().server != relay.host);
        simulation.commit();
        simulation.run(2_000);
        assertThat(simulation.controllers)
                .allMatch(each -> each.revision().number() == simulation.history.latest());
    }

    /**
     * The only member is isolated from the other members for 30 s. After 25 s every controller must
     * still have its state and report its age.
     */
    @Test
    void partitionedFleetKeepsItsStateAndKnowsItsAge() {
        startSimulation(1, 2, 8, DistributionSimulationTest.limits());
        long latest = simulation.history.latest();
        simulation.members.get(0).isolate(simulation.now() + 30_000);
        simulation.commit();
        simulation.run(25_000);
        for (SimulatedController controller : simulation.controllers) {
            assertThat(controller.revision().number()).isEqualTo(latest);
            assertThat(controller.subscriber().ageMillis(simulation.now()))
                    .isBetween(25_000L, 30_000L);
        }
        simulation.run(10_000);
    }

    /**
     * The leader publishes a change and stops before the other members have received it.
     * Controllers that applied the change must not go back when they connect to the others.
     */
    @Test
    void controllersAheadOfTheRemainingMembersKeepTheirStateWhenTheLeaderIsLost() {
        startSimulation(3, 0, 9, DistributionSimulationTest.limits());
        SimulatedMember leader = simulation.members.get(0);
        simulation.members.get(1).isolate(simulation.now() + 6_000);
        simulation.members.get(2).isolate(simulation.now() + 6_000);
        simulation.history.put(
                simulation.now(), ConfigurationStoreTest.item("for all", "", "", "1"));
        simulation.run(1_000);
        List<SimulatedController> ahead =
                simulation.controllers.stream()
                        .filter(each -> each.revision().number() == simulation.history.latest())
                        .toList();
        assertThat(ahead).isNotEmpty().hasSizeLessThan(9);
        simulation.network.stop(leader.host);
        simulation.run(3_000);
        assertThat(ahead).allMatch(each -> each.revision().number() == simulation.history.latest());
        assertThat(ahead)
                .allMatch(
                        each ->
                                each.subscriber()
                                        .rejectionCounts()
                                        .containsKey(RejectionReason.FUTURE_REVISION));
        assertThat(simulation.checker.violations()).isEmpty();
        simulation.run(12_000);
        leader.restart();
        simulation.run(1_000);
    }

    /**
     * Messages from a relay no longer reach one controller; the other direction works. The
     * controller must detect the silence and move to the other relay.
     */
    @Test
    void partitionFromRelayToControllerIsDetectedWithinTwoSeconds() {
        startSimulation(1, 2, 4, DistributionSimulationTest.limits());
        SimulatedController controller = simulation.controllers.get(0);
        SimulatedNetwork.Link link = controller.link();
        simulation.network.partition(link.server, link.client, simulation.now() + 20_000);
        simulation.run(2_000);
        assertThat(controller.subscriber().rejectionCounts()).containsKey(RejectionReason.SILENT);
        simulation.run(2_000);
        assertThat(controller.link().server).isNotEqualTo(link.server);
        simulation.commit();
        simulation.run(2_000);
    }

    /**
     * Messages from one controller no longer reach its relay; the other direction works. The relay
     * must count the controller as unreachable.
     */
    @Test
    void partitionFromControllerToRelayIsDetectedWithinTwoSeconds() {
        startSimulation(1, 2, 4, DistributionSimulationTest.limits());
        SimulatedController controller = simulation.controllers.get(0);
        SimulatedNetwork.Link link = controller.link();
        simulation.network.partition(link.client, link.server, simulation.now() + 20_000);
        simulation.run(2_000);
        SimulatedRelay relay =
                simulation.relays.stream()
                        .filter(each -> each.host == link.server)
                        .findFirst()
                        .orElseThrow();
        assertThat(relay.publisher().rejectionCounts()).containsKey(RejectionReason.SILENT);
        assertThat(relay.publisher().summary().unreachable()).isEqualTo(1);
        simulation.run(8_000);
        assertThat(controller.link().server).isNotEqualTo(link.server);
    }

    /**
     * A relay is partitioned for longer than the history of its member reaches, and needs a
     * snapshot. Its controllers hold most of that state already and must be sent only differences.
     */
    @Test
    void relayThatNeededASnapshotForwardsOnlyTheDifference() {
        startSimulation(1, 1, 4, TestLimits.small(10, 5, 40));
        SimulatedNetwork.Host member = simulation.members.get(0).host;
        SimulatedNetwork.Host relay = simulation.relays.get(0).host;
        long end = simulation.now() + 4_000;
        simulation.network.partition(member, relay, end);
        simulation.network.partition(relay, member, end);
        for (int number = 0; number < 30; number++) {
            simulation.history.put(simulation.now(), simulation.anyItem("k" + number % 5));
        }
        Map<String, Integer> parts = new TreeMap<>();
        simulation.network.interceptWith(
                (from, to, message) -> {
                    if (message instanceof DistributionMessage.SnapshotPart) {
                        parts.merge(to.name, 1, Integer::sum);
                    }
                    return message;
                });
        simulation.run(14_000);
        assertThat(parts).containsOnlyKeys("r0");
    }

    /**
     * A relay with 1,300 controllers restarts, and all of them reconnect at once. The relay must
     * admit them at its configured rate, without load on the member.
     */
    @Test
    void fleetReconnectingAtOnceIsAdmittedGraduallyWithoutLoadOnTheMember() {
        Limits limits = Limits.standard();
        int controllers = 1_300;
        simulation =
                new DistributionSimulation(
                        SEED, new DistributionSimulation.Size(1, 1, controllers), limits);
        simulation.commit();
        simulation.run(15_000);
        SimulatedRelay relay = simulation.relays.get(0);
        assertThat(relay.publisher().summary().subscribers()).isEqualTo(controllers);
        TreeMap<Long, Integer> admitted = new TreeMap<>();
        long[] sentByMember = new long[1];
        simulation.network.interceptWith(
                (from, to, message) -> {
                    if (from == relay.host
                            && message instanceof DistributionMessage.Heartbeat heartbeat) {
                        admitted.merge(simulation.now() / 1_000, 1, Integer::sum);
                    }
                    sentByMember[0] += from == simulation.members.get(0).host ? 1 : 0;
                    return message;
                });
        relay.restart();
        long start = simulation.now();
        while (relay.publisher().summary().subscribers() < controllers
                && simulation.now() < start + 60_000) {
            simulation.run(100);
        }
        long durationMillis = simulation.now() - start;
        System.out.println(
                "distribution: "
                        + controllers
                        + " controllers reconnected to one relay in "
                        + durationMillis
                        + " ms, "
                        + relay.publisher().rejectionCounts()
                        + ", "
                        + sentByMember[0]
                        + " messages sent by the member");
        assertThat(durationMillis).isLessThan(20_000);
        assertThat(relay.publisher().rejectionCounts()).containsKey(RejectionReason.BUSY);
        assertThat(sentByMember[0]).isLessThan(100);
        simulation.run(3_000);
        simulation.checker.checkInForceEverywhere();
    }
}
