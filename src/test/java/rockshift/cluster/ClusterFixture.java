package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.raft.Timing;
import rockshift.testkit.FaultyLink;

/** Runs members with real folders and loopback sockets, over links that can be partitioned. */
abstract class ClusterFixture {
    static final int TIMEOUT_MS = 60_000;

    @TempDir Path folder;

    /** The links between members, by number of the sender and of the receiver. */
    final FaultyLink[][] links = new FaultyLink[4][4];

    /** The links from clients and relays to members, by number of the member. */
    final FaultyLink[] clientLinks = new FaultyLink[4];

    final ClusterMember[] members = new ClusterMember[4];
    final Map<Integer, Long> versions = new ConcurrentHashMap<>();
    final Map<Integer, LocalController.PermittedChanges> permittedChanges =
            new ConcurrentHashMap<>();
    final Map<Integer, Boolean> agreedStateKnown = new ConcurrentHashMap<>();
    final Map<Integer, Set<String>> drained = new ConcurrentHashMap<>();
    final SplittableRandom random = new SplittableRandom(5);
    ClusterSettings.InitialCluster initialCluster = ClusterSettings.InitialCluster.NEW;
    int subscribers = DistributionSettings.DEFAULT_SUBSCRIBERS;

    private final class FakeController implements LocalController {
        private final int number;

        FakeController(int number) {
            this.number = number;
        }

        @Override
        public void applyAgreed(
                long version, Map<String, Change> drains, Map<String, Double> overrides) {
            versions.put(number, version);
            drained.put(number, Set.copyOf(drains.keySet()));
        }

        @Override
        public void setAgreedStateKnown(boolean known) {
            agreedStateKnown.put(number, known);
        }

        @Override
        public void setPermittedChanges(PermittedChanges permitted) {
            permittedChanges.put(number, permitted);
        }

        @Override
        public String rejectionReason(Change change, Map<String, Change> drains) {
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
    void createLinks() throws IOException {
        for (int i = 0; i < 4; i++) {
            clientLinks[i] = new FaultyLink(i);
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
            clientLinks[i].close();
            for (FaultyLink link : links[i]) {
                link.close();
            }
        }
    }

    void start(int number, int founders) throws Exception {
        Map<String, String> named = new LinkedHashMap<>();
        Map<String, String> routes = new LinkedHashMap<>();
        for (int k = 0; k < 4; k++) {
            if (k < founders) {
                named.put("n" + k, clientLinks[k].address());
            }
            routes.put("n" + k, links[number][k].address());
        }
        members[number] =
                new ClusterMember(
                        new ClusterSettings(
                                "n" + number,
                                new InetSocketAddress("127.0.0.1", 0),
                                clientLinks[number].address(),
                                folder.resolve("d" + number),
                                named,
                                routes,
                                new Timing(4_000, 800, 0.05, true, 512),
                                new Engine.Compaction(100, 1 << 20),
                                ClusterSettings.Minority.WITHDRAW,
                                initialCluster,
                                subscribers),
                        new FakeController(number));
        members[number].start();
        clientLinks[number].connectTo(members[number].port());
        for (int k = 0; k < 4; k++) {
            links[k][number].connectTo(members[number].port());
        }
    }

    void startThree() throws Exception {
        for (int i = 0; i < 3; i++) {
            start(i, 3);
        }
        await(() -> leader() >= 0);
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    static void await(Condition condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!condition.holds()) {
            assertThat(System.nanoTime()).as("time limit for the condition, ns").isLessThan(end);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    int leader() {
        for (int i = 0; i < members.length; i++) {
            if (members[i] != null && members[i].isLeader()) {
                return i;
            }
        }
        return -1;
    }

    ClusterClient client(int... first) {
        List<String> addresses = new ArrayList<>();
        for (int i : first) {
            addresses.add(clientLinks[i].address());
        }
        return new ClusterClient(addresses, random, 1_000);
    }

    static long deadlineMillis() {
        return System.nanoTime() / 1_000_000 + TIMEOUT_MS;
    }

    static Change hold(String replica) {
        return new Change(Change.Kind.HOLD, replica, 0, 0, "");
    }

    void setPartitioned(int member, boolean partitioned) {
        for (int k = 0; k < 4; k++) {
            links[member][k].setPartitioned(partitioned);
            links[k][member].setPartitioned(partitioned);
        }
    }
}
