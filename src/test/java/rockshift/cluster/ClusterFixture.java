package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.raft.Timing;
import rockshift.testkit.FaultyLink;

/** Members on real loopback sockets and real folders, with relays between them that can be cut. */
abstract class ClusterFixture {
    static final int LONG = 60_000;

    @TempDir Path folder;
    final FaultyLink[][] links = new FaultyLink[4][4];
    final FaultyLink[] fronts = new FaultyLink[4];
    final ClusterMember[] members = new ClusterMember[4];
    final Map<Integer, Long> versions = new ConcurrentHashMap<>();
    final Map<Integer, LocalController.Reach> reaches = new ConcurrentHashMap<>();
    final SplittableRandom chance = new SplittableRandom(5);
    int subscribers = DistributionSettings.DEFAULT_SUBSCRIBERS;

    private final class Governor implements LocalController {
        private final int number;

        Governor(int number) {
            this.number = number;
        }

        @Override
        public void applyAgreed(long version, Map<String, Change> out, Map<String, Double> terms) {
            versions.put(number, version);
        }

        @Override
        public void setReach(Reach reach) {
            reaches.put(number, reach);
        }

        @Override
        public String objection(Change change, Map<String, Change> out) {
            return change.subject().equals("s-unknown") ? "unknown-replica" : null;
        }

        @Override
        public long startedMillis(String replica) {
            return 77;
        }

        @Override
        public String zoneOf(String replica) {
            return replica.startsWith("a-") ? "hall-a" : "";
        }
    }

    @BeforeEach
    void layWays() throws IOException {
        for (int i = 0; i < 4; i++) {
            fronts[i] = new FaultyLink(i);
            for (int j = 0; j < 4; j++) {
                links[i][j] = new FaultyLink(i * 4L + j);
            }
        }
    }

    @AfterEach
    void close() throws Exception {
        for (ClusterMember member : members) {
            if (member != null) {
                member.close();
            }
        }
        for (int i = 0; i < 4; i++) {
            fronts[i].close();
            for (FaultyLink link : links[i]) {
                link.close();
            }
        }
    }

    void start(int i, int founders) throws Exception {
        Map<String, String> named = new LinkedHashMap<>();
        Map<String, String> routes = new LinkedHashMap<>();
        for (int k = 0; k < 4; k++) {
            if (k < founders) {
                named.put("n" + k, fronts[k].address());
            }
            routes.put("n" + k, links[i][k].address());
        }
        members[i] =
                new ClusterMember(
                        new ClusterSettings(
                                "n" + i,
                                new InetSocketAddress("127.0.0.1", 0),
                                fronts[i].address(),
                                folder.resolve("d" + i),
                                named,
                                routes,
                                new Timing(4_000, 800, 0.05, true, 512),
                                new Engine.Compaction(100, 1 << 20),
                                ClusterSettings.Minority.WITHDRAW,
                                subscribers),
                        new Governor(i));
        members[i].start();
        fronts[i].connectTo(members[i].port());
        for (int k = 0; k < 4; k++) {
            links[k][i].connectTo(members[i].port());
        }
    }

    void startThree() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i, 3);
        }
        until(() -> leader() >= 0);
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void until(Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONG);
        while (!condition.holds()) {
            assertThat(System.nanoTime()).as("in time").isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    int leader() {
        for (int i = 0; i < members.length; i++) {
            if (members[i] != null && members[i].leads()) {
                return i;
            }
        }
        return -1;
    }

    ClusterClient client(int... first) {
        List<String> addresses = new ArrayList<>();
        for (int i : first) {
            addresses.add(fronts[i].address());
        }
        return new ClusterClient(addresses, chance, 1_000);
    }

    static long soon() {
        return System.nanoTime() / 1_000_000 + LONG;
    }

    static Change hold(String replica) {
        return new Change(Change.Kind.HOLD, replica, 0, 0, "");
    }

    void cut(int member, boolean now) {
        for (int k = 0; k < 4; k++) {
            links[member][k].setPartitioned(now);
            links[k][member].setPartitioned(now);
        }
    }
}
