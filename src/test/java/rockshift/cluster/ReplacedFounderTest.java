package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static rockshift.cluster.ClusterClient.newCall;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import rockshift.raft.Member;
import rockshift.raft.Membership;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/** A cluster that one member founded and two joined, whose founder loses its folder. */
class ReplacedFounderTest extends ClusterFixture {
    /** Longer than a founder listens, and than an election takes after that. */
    private static final long WATCHED_MS = FoundingPolicy.LISTEN_MS + 2_000;

    private void startFounderAndTwoAdded(ClusterClient client) throws Exception {
        start(0, 1);
        await(() -> leader() == 0);
        for (int added = 1; added < 3; added++) {
            start(added, 0);
            add(client, added);
        }
        client.change(hold("s-1"), false, deadlineMillis());
        await(
                () ->
                        versions.size() == 3
                                && versions.values().stream().allMatch(version -> version == 1));
    }

    private void add(ClusterClient client, int number) throws Exception {
        JsonNode answer = client.sendToLeader(addCall(number, statusOf(number)), deadlineMillis());
        assertThat(answer.has("refused")).as("%s", answer).isFalse();
        await(() -> roleOf(client, number).equals("voter"));
    }

    /** Returns a member's role as it knows it itself, or an empty text. */
    private String roleOf(ClusterClient client, int number) throws IOException {
        return roleOf(client, number, number);
    }

    /** Returns a member's role as another member knows it, or an empty text. */
    private String roleOf(ClusterClient client, int asked, int number) throws IOException {
        for (JsonNode member : status(client, clientLinks[asked].address()).path("members")) {
            if (member.path("name").asText().equals("n" + number)) {
                return member.path("role").asText();
            }
        }
        return "";
    }

    private static JsonNode status(ClusterClient client, String address) throws IOException {
        return client.send(address, newCall("status"));
    }

    private void loseFolder(int number) throws Exception {
        members[number].close();
        members[number] = null;
        versions.remove(number);
        permittedChanges.remove(number);
        drained.remove(number);
        agreedStateKnown.remove(number);
        try (Stream<Path> files = Files.list(folder.resolve("d" + number))) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
    }

    /**
     * Guards against a second cluster: the founder found no cluster in its empty folder, founded
     * one at once, led it and acknowledged changes that the others never got.
     */
    @Test
    void replacedSoleFounderFoundsNoSecondCluster() throws Exception {
        try (ClusterClient client = client(0, 1, 2);
                ClusterClient replaced = client(0)) {
            startFounderAndTwoAdded(client);
            loseFolder(0);
            start(0, 1);
            String at = clientLinks[0].address();
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WATCHED_MS);
            while (System.nanoTime() < end) {
                assertThat(status(replaced, at).path("cluster").asText()).isEqualTo("0");
                TimeUnit.MILLISECONDS.sleep(50);
            }
            assertThat(permittedChanges.get(0))
                    .isEqualTo(LocalController.PermittedChanges.WITHDRAW);
            client.change(hold("s-2"), false, deadlineMillis());
            await(() -> versions.get(1) == 2 && versions.get(2) == 2);
            assertThat(
                            client.sendToLeader(
                                            newCall("remove").put("name", "n0"), deadlineMillis())
                                    .has("refused"))
                    .isFalse();
            add(client, 0);
            await(() -> versions.getOrDefault(0, 0L) == 2);
        }
    }

    /**
     * Guards against a controller that orders a replica which the others hold: a replaced member
     * waited to be added, and its controller was told nothing of what was agreed.
     */
    @Test
    void replacedMemberLearnsTheAgreedStateBeforeItIsAdded() throws Exception {
        try (ClusterClient client = client(0, 1, 2)) {
            startFounderAndTwoAdded(client);
            loseFolder(0);
            start(0, 1);
            await(() -> drained.getOrDefault(0, Set.of()).equals(Set.of("s-1")));
            await(() -> agreedStateKnown.get(0));
            client.change(hold("s-2"), false, deadlineMillis());
            await(() -> versions.get(0) == 2);
            assertThat(statusOf(0).path("cluster").asText()).isEqualTo("0");
        }
    }

    /** Guards against a waiting member that a hello with an invalid address ends. */
    @Test
    void waitingMemberOutlivesAHelloWithAnInvalidAddress() throws Exception {
        initialCluster = ClusterSettings.InitialCluster.EXISTING;
        start(0, 1);
        Membership members =
                new Membership(List.of(new Member(7, "other", "nowhere", Member.Role.VOTER)));
        byte[] hello = new Hello(Frames.VERSION, 9, 7, "other", members).encode();
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), this.members[0].port())) {
            socket.getOutputStream().write(Frames.frame(Frames.HELLO, hello));
            TimeUnit.MILLISECONDS.sleep(500);
            assertThat(statusOf(0).path("cluster").asText()).isEqualTo("0");
        }
    }

    /** Guards against a controller that counts as informed while its member can reach no other. */
    @Test
    void memberThatIsCutOffKnowsOnlyItsFolder() throws Exception {
        try (ClusterClient client = client(0, 1, 2)) {
            startFounderAndTwoAdded(client);
            setPartitioned(1, true);
            members[1].close();
            drained.remove(1);
            start(1, 0);
            TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
            assertThat(drained.get(1)).as("by the entries in its folder").containsExactly("s-1");
            assertThat(agreedStateKnown.get(1)).isFalse();
            setPartitioned(1, false);
            await(() -> agreedStateKnown.get(1));
        }
    }

    /**
     * A replaced founder that no member can reach begins a cluster, as at a first start. Guards
     * against two leaders after the partition: it must end its part, limit its controller, and
     * acknowledge nothing more.
     */
    @Test
    void replacedFounderThatWasCutOffEndsItsPartOnceItHearsOfItsCluster() throws Exception {
        try (ClusterClient client = client(0, 1, 2);
                ClusterClient alone = client(0)) {
            startFounderAndTwoAdded(client);
            loseFolder(0);
            setPartitioned(0, true);
            start(0, 1);
            await(() -> members[0].isLeader());
            alone.change(hold("s-7"), false, deadlineMillis());
            setPartitioned(0, false);
            String at = clientLinks[0].address();
            await(() -> status(alone, at).path("role").asText().equals("superseded"));
            assertThat(members[0].isLeader()).isFalse();
            assertThat(permittedChanges.get(0))
                    .isEqualTo(LocalController.PermittedChanges.WITHDRAW);
            assertThat(alone.send(at, newCall("open").put("session", 5)).path("refused").asText())
                    .isEqualTo("not-leader");
            client.change(hold("s-2"), false, deadlineMillis());
            await(() -> versions.get(1) == 2 && versions.get(2) == 2);
            assertThat(versions.get(0)).as("changes of its own cluster").isEqualTo(1);
            restartCutOff(0);
            assertThat(statusOf(0).path("role").asText()).isEqualTo("superseded");
        }
    }

    /**
     * Guards against a founder that founds a second cluster after a restart, while the members that
     * it had heard of its cluster from cannot reach it.
     */
    @Test
    void replacedFounderFoundsNothingAfterARestartInAPartition() throws Exception {
        try (ClusterClient client = client(0, 1, 2)) {
            startFounderAndTwoAdded(client);
            loseFolder(0);
            start(0, 1);
            restartCutOff(0);
            TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
            assertThat(statusOf(0).path("cluster").asText()).isEqualTo("0");
        }
    }

    /** Restarts a member that has heard of another cluster, with its folder and without peers. */
    private void restartCutOff(int number) throws Exception {
        await(() -> Files.exists(folder.resolve("d" + number).resolve("known-cluster")));
        setPartitioned(number, true);
        members[number].close();
        start(number, 1);
    }

    /**
     * Guards against a command that fails for good because it reaches a leader while another change
     * of the members, or the first entry of its term, is not committed yet.
     */
    @Test
    void memberIsAddedOnceAnEarlierChangeOfTheMembersIsCommitted() throws Exception {
        try (ClusterClient client = client(0);
                ClusterClient earlier = client(0)) {
            start(0, 1);
            await(() -> leader() == 0);
            for (int number = 1; number < 4; number++) {
                start(number, 0);
            }
            add(client, 1);
            await(() -> hasCommittedAll(client, 0));
            ObjectNode earlierCall = addCall(2, statusOf(2));
            setPartitioned(1, true);
            Thread pending = new Thread(() -> sendIgnoringTheAnswer(earlier, earlierCall));
            pending.start();
            // A leader that stalls longer than its election timeout steps down before it gets the
            // call; the partition must heal then, too.
            await(() -> roleOf(client, 0, 2).equals("joining") || leader() != 0);
            Thread healing = new Thread(this::healAfterAPause);
            healing.start();
            add(client, 3);
            healing.join();
            pending.join();
        }
    }

    private void healAfterAPause() {
        try {
            TimeUnit.MILLISECONDS.sleep(200);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
        setPartitioned(1, false);
    }

    /** Returns whether a member knows that all entries of its log are committed. */
    private boolean hasCommittedAll(ClusterClient client, int asked) throws IOException {
        JsonNode status = status(client, clientLinks[asked].address());
        return status.path("agreed").asLong() == status.path("last").asLong();
    }

    private static void sendIgnoringTheAnswer(ClusterClient client, ObjectNode call) {
        try {
            client.sendToLeader(call, deadlineMillis());
        } catch (IOException | InterruptedException unanswered) {
            // Only its effect on the other change matters.
        }
    }

    private JsonNode statusOf(int number) throws IOException {
        try (ClusterClient asking = client(number)) {
            return status(asking, clientLinks[number].address());
        }
    }

    private ObjectNode addCall(int number, JsonNode status) {
        return newCall("add")
                .put("name", "n" + number)
                .put("address", clientLinks[number].address())
                .put("id", status.path("number").asLong());
    }

    /** Guards against a founder that founds again although its operator says there is a cluster. */
    @Test
    void founderOfAnExistingClusterFoundsNothing() throws Exception {
        initialCluster = ClusterSettings.InitialCluster.EXISTING;
        start(0, 1);
        try (ClusterClient client = client(0)) {
            TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
            assertThat(status(client, clientLinks[0].address()).path("cluster").asText())
                    .isEqualTo("0");
        }
    }
}
