package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.classes;
import static rockshift.planner.PolicyFixtures.endpoint;
import static rockshift.planner.PolicyFixtures.registry;

import java.util.List;
import org.junit.jupiter.api.Test;
import rockshift.model.Endpoint;
import rockshift.settings.PlannerSettings;

class ReplicaSubsetterTest {
    private static final PlannerSettings UNLIMITED = settings(Double.MAX_VALUE);

    /** Settings with two zones and a limit on the entries in the channel. */
    private static PlannerSettings settings(double queueLimitEntries) {
        return PlannerSettings.newBuilder()
                .zones(List.of("east", "west"))
                .classes(classes(false))
                .channelQueueLimitEntries(queueLimitEntries)
                .build();
    }

    private static ProxyRegistry proxies(PlannerSettings settings, int count) {
        ProxyRegistry proxies = new ProxyRegistry(settings, 1);
        for (int number = 0; number < count; number++) {
            proxies.join(NOW, number, number % 2 == 0 ? "east" : "west", 10, false);
        }
        return proxies;
    }

    @Test
    void noGroupsWithoutReplicasOrProxies() {
        ReplicaSubsetter subsetter = new ReplicaSubsetter(UNLIMITED, 1);
        assertThat(subsetter.assignSubsets(registry(0), proxies(UNLIMITED, 2))).isFalse();
        assertThat(subsetter.assignSubsets(registry(4), proxies(UNLIMITED, 0))).isFalse();
        assertThat(subsetter.groups()).isEmpty();
    }

    @Test
    void oneGroupPerZoneWithWholeFleetIfTablesFit() {
        ReplicaSubsetter subsetter = new ReplicaSubsetter(UNLIMITED, 1);
        assertThat(subsetter.assignSubsets(registry(40), proxies(UNLIMITED, 2))).isTrue();
        assertThat(subsetter.coversWholeFleet()).isTrue();
        assertThat(subsetter.groups()).hasSize(2);
        assertThat(subsetter.groups())
                .allSatisfy(group -> assertThat(group.subsetSize()).isEqualTo(40));
    }

    @Test
    void shortTablesContainEachReplicaIfFullTablesDoNotFit() {
        PlannerSettings tight = settings(220);
        ReplicaSubsetter subsetter = new ReplicaSubsetter(tight, 1);
        ReplicaRegistry replicas = registry(100);
        subsetter.assignSubsets(replicas, proxies(tight, 20));
        assertThat(subsetter.coversWholeFleet()).isFalse();
        assertThat(subsetter.groups())
                .allSatisfy(group -> assertThat(group.subsetSize()).isBetween(8, 30));
        assertThat(replicas.all())
                .allSatisfy(
                        each -> assertThat(each.groupCount(ZoneRelation.SAME_ZONE)).isPositive());
    }

    @Test
    void departedReplicasAreRemovedFromAllGroups() {
        ReplicaSubsetter subsetter = new ReplicaSubsetter(UNLIMITED, 1);
        ReplicaRegistry replicas = registry(2);
        ProxyRegistry proxies = proxies(UNLIMITED, 2);
        subsetter.assignSubsets(replicas, proxies);
        replicas.update(
                NOW,
                List.of(
                        endpoint(1, "east", Endpoint.Health.DRAINING, 0),
                        endpoint(2, "west", Endpoint.Health.GONE, 0)),
                true);
        assertThat(subsetter.assignSubsets(replicas, proxies)).isFalse();
        assertThat(subsetter.groups()).allSatisfy(group -> assertThat(group.subsetSize()).isZero());
    }
}
