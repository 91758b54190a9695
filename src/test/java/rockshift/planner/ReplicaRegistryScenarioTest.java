package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.ReplicaReport.healthy;
import static rockshift.planner.ReplicaReport.withoutUtilization;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** State that the planner keeps of permanently gone replicas. */
class ReplicaRegistryScenarioTest {
    /**
     * Many releases, each with new replica numbers: no state of earlier replicas may be kept, not
     * even for a zone whose proxies all joined other controllers.
     */
    @Test
    void allGenerationsOfReplicasExceptTheLastAreForgotten() {
        FakeController controller = FakeController.create().start(4);
        controller.disconnectProxy(1);
        for (long generation = 1; generation <= 100; generation++) {
            long firstReplica = 100 * generation + 1;
            controller.listEndpoints(
                    LongStream.range(firstReplica, firstReplica + 4)
                            .mapToObj(TestEndpoints::ready)
                            .toList());
            controller.runSecond(
                    healthy(firstReplica, 20, 0.4), withoutUtilization(firstReplica + 2, 20, 20));
            controller.runFor(1);
        }
        controller.runFor(70);
        assertThat(controller.forgottenReplicas()).hasSize(100 * 4);
        assertThat(controller.tables().values())
                .allSatisfy(
                        entries ->
                                assertThat(entries.keySet()).allMatch(replica -> replica > 10_000));
        controller.joinProxy(1, "west", 10);
        controller.runFor(1);
        assertThat(controller.tableOf(1).keySet())
                .containsExactlyInAnyOrder(10_001L, 10_002L, 10_003L, 10_004L);
    }
}
