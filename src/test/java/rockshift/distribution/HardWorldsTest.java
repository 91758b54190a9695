package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The hard cases that take several hosts, each caused on purpose in a simulated world. */
class HardWorldsTest {
    private static final long SEED = 5;
    private DistributionWorld world;

    private void begin(int members, int relays, int governors, Limits limits) {
        world =
                new DistributionWorld(
                        SEED, new DistributionWorld.Size(members, relays, governors), limits);
        for (int number = 0; number < 20; number++) {
            world.commit();
        }
        world.run(4_000);
        world.checker.converged();
        assertThat(world.checker.breaches()).isEmpty();
    }

    @AfterEach
    void noInvariantIsBroken() {
        world.checker.converged();
        assertThat(world.checker.breaches()).isEmpty();
    }

    @Test
    void anIntermediatePausedForAMinuteWakesWithOldStateAndDoesNotPassItOffAsFresh() {
        begin(1, 2, 8, DistributionWorldTest.limits());
        DistributionWorld.RelayNode relay = world.relays.get(0);
        Revision before = relay.store().current();
        world.pause(relay.host, 60_000);
        for (int second = 0; second < 60; second++) {
            world.run(1_000);
            world.commit();
        }
        List<DistributionMessage.Heartbeat> told = new ArrayList<>();
        world.network.tamper(
                (from, to, message) -> {
                    if (from == relay.host
                            && message instanceof DistributionMessage.Heartbeat heartbeat
                            && heartbeat.current().equals(before)) {
                        told.add(heartbeat);
                    }
                    return message;
                });
        world.run(30);
        assertThat(relay.relay().subscriber().ageMillis(world.now())).isGreaterThan(59_000);
        assertThat(told).allMatch(heartbeat -> heartbeat.staleMillis() > 59_000);
        world.run(10_000);
        assertThat(relay.store().current().number()).isEqualTo(world.history.latest());
    }

    @Test
    void aGovernorOfARelayThatIsCutOffKnowsItAndMovesOn() {
        begin(1, 2, 8, DistributionWorldTest.limits());
        DistributionWorld.RelayNode relay = world.relays.get(0);
        long readers =
                world.governors.stream().filter(each -> each.link().server == relay.host).count();
        assertThat(readers).isPositive();
        world.network.cut(world.members.get(0).host, relay.host, world.now() + 20_000);
        world.network.cut(relay.host, world.members.get(0).host, world.now() + 20_000);
        world.run(5_000);
        assertThat(world.governors).allMatch(each -> each.link().server != relay.host);
        world.commit();
        world.run(2_000);
        assertThat(world.governors)
                .allMatch(each -> each.shown().number() == world.history.latest());
    }

    @Test
    void aFleetThatIsCutOffGoesOnWithWhatItHasAndKnowsHowOldItIs() {
        begin(1, 2, 8, DistributionWorldTest.limits());
        long shown = world.history.latest();
        world.members.get(0).cutOff(world.now() + 30_000);
        world.commit();
        world.run(25_000);
        for (DistributionWorld.Governor governor : world.governors) {
            assertThat(governor.shown().number()).isEqualTo(shown);
            assertThat(governor.subscriber().ageMillis(world.now())).isBetween(25_000L, 30_000L);
        }
        world.run(10_000);
    }

    @Test
    void aLeaderLostBetweenAgreementAndHandOn() {
        begin(3, 0, 9, DistributionWorldTest.limits());
        DistributionWorld.Member leader = world.members.get(0);
        world.members.get(1).cutOff(world.now() + 6_000);
        world.members.get(2).cutOff(world.now() + 6_000);
        world.history.put(world.now(), ConfigurationStoreTest.item("for all", "", "", "1"));
        world.run(1_000);
        List<DistributionWorld.Governor> ahead =
                world.governors.stream()
                        .filter(each -> each.shown().number() == world.history.latest())
                        .toList();
        assertThat(ahead).isNotEmpty().hasSizeLessThan(9);
        world.network.stop(leader.host);
        world.run(3_000);
        assertThat(ahead).allMatch(each -> each.shown().number() == world.history.latest());
        assertThat(ahead)
                .allMatch(
                        each ->
                                each.subscriber()
                                        .rejectionCounts()
                                        .containsKey(RejectionReason.FUTURE_REVISION));
        assertThat(world.checker.breaches()).isEmpty();
        world.run(12_000);
        leader.restart();
        world.run(1_000);
    }

    @Test
    void aCutFromTheRelayToAGovernorIsNoticedInTwoSeconds() {
        begin(1, 2, 4, DistributionWorldTest.limits());
        DistributionWorld.Governor governor = world.governors.get(0);
        SimulatedNetwork.Link link = governor.link();
        world.network.cut(link.server, link.client, world.now() + 20_000);
        world.run(2_000);
        assertThat(governor.subscriber().rejectionCounts()).containsKey(RejectionReason.SILENT);
        world.run(2_000);
        assertThat(governor.link().server).isNotEqualTo(link.server);
        world.commit();
        world.run(2_000);
    }

    @Test
    void aCutFromAGovernorToTheRelayIsNoticedInTwoSeconds() {
        begin(1, 2, 4, DistributionWorldTest.limits());
        DistributionWorld.Governor governor = world.governors.get(0);
        SimulatedNetwork.Link link = governor.link();
        world.network.cut(link.client, link.server, world.now() + 20_000);
        world.run(2_000);
        DistributionWorld.RelayNode relay =
                world.relays.stream()
                        .filter(each -> each.host == link.server)
                        .findFirst()
                        .orElseThrow();
        assertThat(relay.publisher().rejectionCounts()).containsKey(RejectionReason.SILENT);
        assertThat(relay.publisher().summary().unreachable()).isEqualTo(1);
        world.run(8_000);
        assertThat(governor.link().server).isNotEqualTo(link.server);
    }

    @Test
    void aRelayThatFellBackToASnapshotHandsOnTheDifferenceOnly() {
        begin(1, 1, 4, TestLimits.small(10, 5, 40));
        SimulatedNetwork.Host member = world.members.get(0).host;
        SimulatedNetwork.Host relay = world.relays.get(0).host;
        long end = world.now() + 4_000;
        world.network.cut(member, relay, end);
        world.network.cut(relay, member, end);
        for (int number = 0; number < 30; number++) {
            world.history.put(world.now(), world.anyItem("k" + number % 5));
        }
        Map<String, Integer> parts = new TreeMap<>();
        world.network.tamper(
                (from, to, message) -> {
                    if (message instanceof DistributionMessage.SnapshotPart) {
                        parts.merge(to.name, 1, Integer::sum);
                    }
                    return message;
                });
        world.run(14_000);
        assertThat(parts).containsOnlyKeys("r0");
    }

    @Test
    void everyGovernorBackAtOnceIsTakenInByAdmissionAndCostsTheMemberNothing() {
        Limits limits = Limits.standard();
        int governors = 1_300;
        world = new DistributionWorld(SEED, new DistributionWorld.Size(1, 1, governors), limits);
        world.commit();
        world.run(15_000);
        DistributionWorld.RelayNode relay = world.relays.get(0);
        assertThat(relay.publisher().summary().subscribers()).isEqualTo(governors);
        TreeMap<Long, Integer> admitted = new TreeMap<>();
        long[] byMember = new long[1];
        world.network.tamper(
                (from, to, message) -> {
                    if (from == relay.host
                            && message instanceof DistributionMessage.Heartbeat heartbeat) {
                        admitted.merge(world.now() / 1_000, 1, Integer::sum);
                    }
                    byMember[0] += from == world.members.get(0).host ? 1 : 0;
                    return message;
                });
        relay.restart();
        long start = world.now();
        while (relay.publisher().summary().subscribers() < governors
                && world.now() < start + 60_000) {
            world.run(100);
        }
        long took = world.now() - start;
        System.out.println(
                "distribution: "
                        + governors
                        + " governors back at one relay in "
                        + took
                        + " ms, "
                        + relay.publisher().rejectionCounts()
                        + ", "
                        + byMember[0]
                        + " messages by the member");
        assertThat(took).isLessThan(20_000);
        assertThat(relay.publisher().rejectionCounts()).containsKey(RejectionReason.BUSY);
        assertThat(byMember[0]).isLessThan(100);
        world.run(3_000);
        world.checker.inForceEverywhere();
    }
}
