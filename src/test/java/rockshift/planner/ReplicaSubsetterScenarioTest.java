package rockshift.planner;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.ReplicaReport.healthy;

import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Replicas that each proxy group gets if full tables do not fit the channel. */
class ReplicaSubsetterScenarioTest {
    /** Full tables for all proxies that joined at once overfilled the channel. */
    @Test
    void groupsHaveSubsetsAndFirstJoinsFillHalfTheChannel() {
        FakeController controller = FakeController.largeFleet();
        int entries = controller.tableOf(0).size();
        assertThat(entries).isBetween(8, 20);
        assertThat(controller.boundProxies().size() * (entries + 3)).isBetween(500, 750);
        controller.runFor(3);
        assertThat(controller.boundProxies()).hasSize(60);
        TreeSet<Long> covered = new TreeSet<>();
        controller
                .boundProxies()
                .forEach(proxy -> covered.addAll(controller.tableOf(proxy).keySet()));
        assertThat(covered).as("replicas that are in a table").hasSize(60);
    }

    /**
     * After a restart or failure of a controller its proxies join another one, and should find the
     * replicas that they have connections to.
     */
    @Test
    void allControllersChooseTheSameSubsets() {
        FakeController one = FakeController.largeFleet(7);
        FakeController other = FakeController.largeFleet(8);
        int table = one.tableNumberOf(0);
        assertThat(one.table(table).keySet()).isEqualTo(other.table(table).keySet());
    }

    /** One client sent a tenth of all requests to a table of sixteen entries. */
    @Test
    void groupWhoseDemandExceedsItsCapacityGetsMoreReplicas() {
        FakeController controller = FakeController.largeFleet().runFor(3);
        int before = controller.tableOf(0).size();
        for (int second = 0; second < 8; second++) {
            for (long replica = 1; replica <= 60; replica++) {
                controller.reportReplica("east", healthy(replica, 10, 0.5), SECOND);
            }
            controller.reportUsage(0, SEARCH, 400, SECOND);
            controller.runFor(1);
        }
        assertThat(controller.tableOf(0).size()).isGreaterThan(2 * before);
    }
}
