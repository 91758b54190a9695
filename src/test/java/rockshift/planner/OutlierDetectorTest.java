package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.PolicyFixtures.NOW;
import static rockshift.planner.PolicyFixtures.registry;
import static rockshift.planner.PolicyFixtures.replicas;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private static final long SECOND = 10_000;

    private final DecisionLog log = new DecisionLog();
    private final TaskSchedule schedule = new TaskSchedule();
    private final OutlierDetector detector =
            new OutlierDetector(new SplittableRandom(7), schedule, log);

    private void detect(ReplicaRegistry registry, long now) {
        detector.detectOutliers(registry.all(), replicas(registry), replica -> 0.4, now);
    }

    private static void report(Replica replica, String fromZone, int failures) {
        replica.recordReport(fromZone, 20, failures, 0, 0.4);
    }

    private static ReplicaRegistry fleetWithFailures(int... failures) {
        ReplicaRegistry registry = registry(failures.length);
        for (int i = 0; i < failures.length; i++) {
            Replica replica = registry.get(i + 1);
            report(replica, replica.zone(), failures[i]);
        }
        return registry;
    }

    @Test
    void nothingIsEjectedWithoutReplicas() {
        detect(registry(0), NOW);
        assertThat(detector.medianFailureRatio()).isZero();
        assertThat(log.isEmpty()).isTrue();
    }

    @Test
    void ejectedReplicaRecoversAlongRamp() {
        ReplicaRegistry registry = fleetWithFailures(0, 0, 0, 14);
        Replica failing = registry.get(4);
        detect(registry, NOW);
        assertThat(failing.isEjected()).isTrue();
        assertThat(log.remove())
                .isEqualTo("ejected replica=4 scope=all failureRatio=0.70 median=0.00 load=0.40");
        ScheduledTask end = schedule.takeNext();
        assertThat(end.dueAtTicks()).isBetween(NOW + 6 * SECOND, NOW + 7 * SECOND);
        detector.endEjection(failing, end.scope(), end.dueAtTicks());
        assertThat(log.remove()).isEqualTo("ejectionEnded replica=4 scope=all");
        assertThat(failing.isEjected()).isFalse();
        assertThat(detector.recoveryFactor(failing, end.dueAtTicks())).isEqualTo(0.15);
        assertThat(detector.recoveryFactor(failing, end.dueAtTicks() + 5 * SECOND)).isEqualTo(1);
    }

    @Test
    void ejectionSoonAfterAnotherLastsTwiceAsLong() {
        ReplicaRegistry registry = fleetWithFailures(0, 0, 0, 14);
        detect(registry, NOW);
        long endedAt = schedule.takeNext().dueAtTicks();
        detector.endEjection(registry.get(4), EjectionScope.ALL_PROXIES, endedAt);
        report(registry.get(4), "west", 20);
        detect(registry, endedAt + SECOND);
        assertThat(schedule.takeNext().dueAtTicks())
                .isBetween(endedAt + 13 * SECOND, endedAt + 14 * SECOND);
    }

    @Test
    void nothingIsEjectedIfAllReplicasFail() {
        detect(fleetWithFailures(18, 16, 17, 20), NOW);
        assertThat(log.isEmpty()).isTrue();
    }

    @Test
    void atMostAQuarterIsEjectedWithMostFailuresFirst() {
        ReplicaRegistry registry = fleetWithFailures(0, 0, 0, 0, 0, 12, 18, 15);
        detect(registry, NOW);
        assertThat(replicas(registry).stream().filter(Replica::isEjected).map(Replica::id))
                .containsExactly(7L, 8L);
    }

    /** In a network partition between zones, a replica fails for one side only. */
    @Test
    void replicaThatSucceedsInItsOwnZoneIsEjectedForOtherZonesOnly() {
        ReplicaRegistry registry = fleetWithFailures(0, 0, 0, 0);
        report(registry.get(1), "west", 20);
        detect(registry, NOW);
        assertThat(registry.get(1).isEjected()).isFalse();
        assertThat(registry.get(1).isEjectedForOtherZones()).isTrue();
        assertThat(log.remove()).startsWith("ejected replica=1 scope=otherZones ");
    }

    /** A replica may be forgotten or restart before its ejection ends. */
    @Test
    void endOfInactiveEjectionIsIgnored() {
        detector.endEjection(null, EjectionScope.ALL_PROXIES, NOW);
        detector.endEjection(new Replica(9), EjectionScope.OTHER_ZONES, NOW);
        assertThat(log.isEmpty()).isTrue();
    }
}
