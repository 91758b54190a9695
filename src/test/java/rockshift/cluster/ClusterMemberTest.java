package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static rockshift.cluster.ClusterClient.newCall;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests of clusters with real folders and loopback sockets. */
class ClusterMemberTest extends ClusterFixture {
    /**
     * A member is stopped, and a change is committed without it. Restarted with its folder, it must
     * apply both changes.
     */
    @Test
    void changeReachesAllMembersIncludingOneThatRestarts() throws Exception {
        startThree();
        try (ClusterClient client = client(0, 1, 2)) {
            assertThat(version(client.change(hold("s-1"), false, deadlineMillis()))).isEqualTo(1);
            int killed = leader();
            members[killed].close();
            members[killed] = null;
            assertThat(version(client.change(hold("s-2"), false, deadlineMillis()))).isEqualTo(2);
            start(killed, 3);
            await(
                    () ->
                            versions.values().stream().allMatch(version -> version == 2)
                                    && versions.size() == 3);
        }
    }

    /**
     * The leader is partitioned and then gets a change. The client retries it at the other members,
     * and it must be applied once. The partitioned member must apply nothing, and limit its
     * controller to removals.
     */
    @Test
    void memberWithoutQuorumAppliesNothingAndARetriedChangeIsAppliedOnce() throws Exception {
        startThree();
        int old = leader();
        setPartitioned(old, true);
        int other = (old + 1) % 3;
        try (ClusterClient client = client(old, other, (old + 2) % 3)) {
            JsonNode answer = client.change(hold("s-1"), false, deadlineMillis());
            assertThat(answer.path("answer").path("version").asLong()).isEqualTo(1);
            await(() -> permittedChanges.get(old) == LocalController.PermittedChanges.WITHDRAW);
            assertThat(versions.get(old)).isZero();
            setPartitioned(old, false);
            await(
                    () ->
                            versions.get(old) == 1
                                    && permittedChanges.get(old)
                                            == LocalController.PermittedChanges.FULL);
            assertThat(changes(client, clientLinks[other].address())).hasSize(1);
        }
    }

    @Test
    void changeIsRefusedOnControllerObjectionAndDrainRecordsReplicaStart() throws Exception {
        startThree();
        try (ClusterClient client = client(0, 1, 2)) {
            assertThat(
                            client.change(hold("s-unknown"), false, deadlineMillis())
                                    .path("refused")
                                    .asText())
                    .isEqualTo("unknown-replica");
            assertThat(version(client.change(hold("s-unknown"), true, deadlineMillis())))
                    .isEqualTo(1);
            client.change(
                    new Change(Change.Kind.DRAIN, "s-3", 0, 0, "why"), false, deadlineMillis());
            await(() -> changes(client, clientLinks[0].address()).size() == 2);
            assertThat(
                            changes(client, clientLinks[0].address())
                                    .get(1)
                                    .path("change")
                                    .path("started")
                                    .asLong())
                    .isEqualTo(77);
        }
    }

    /**
     * A member loses its folder and starts again with its name and address. Since its votes are
     * lost, it must not take part until an operator adds it as a new member.
     */
    @Test
    void wipedMemberHasNoVoteUntilItIsAddedAgain() throws Exception {
        startThree();
        try (ClusterClient client = client(0, 1, 2)) {
            for (int i = 0; i < 300; i++) {
                client.change(hold("s-" + i), false, deadlineMillis());
            }
            int wiped = (leader() + 1) % 3;
            members[wiped].close();
            try (Stream<Path> files = Files.list(folder.resolve("d" + wiped))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            versions.remove(wiped);
            start(wiped, 3);
            String at = clientLinks[wiped].address();
            await(() -> status(client, at).path("cluster").asText().equals("0"));
            assertThat(client.change(hold("s-x"), false, deadlineMillis()).has("refused"))
                    .as("change committed by two of three members")
                    .isFalse();
            assertThat(
                            client.sendToLeader(
                                            newCall("remove").put("name", "n" + wiped),
                                            deadlineMillis())
                                    .has("refused"))
                    .isFalse();
            JsonNode self = status(client, at);
            assertThat(
                            client.sendToLeader(
                                            newCall("add")
                                                    .put("name", "n" + wiped)
                                                    .put("address", at)
                                                    .put("id", self.path("number").asLong()),
                                            deadlineMillis())
                                    .has("refused"))
                    .isFalse();
            await(() -> versions.getOrDefault(wiped, 0L) == 301);
            await(
                    () ->
                            status(client, at)
                                    .path("members")
                                    .toString()
                                    .contains(
                                            "\"n"
                                                    + wiped
                                                    + "\",\"address\":\""
                                                    + at
                                                    + "\",\"role\":\"voter\""));
        }
    }

    @Test
    void garbledFrameClosesOnlyItsConnection() throws Exception {
        startThree();
        try (ClusterClient client = client(0, 1, 2)) {
            client.change(hold("s-1"), false, deadlineMillis());
            try (Socket connection = new Socket("127.0.0.1", members[0].port())) {
                connection.getOutputStream().write(new byte[] {9, 9, 9, 9, 9, 9, 9, 9, 9, 9});
                assertThat(isClosed(connection)).isTrue();
            }
            assertThat(version(client.change(hold("s-2"), false, deadlineMillis()))).isEqualTo(2);
            assertThat(
                            client.send(clientLinks[0].address(), newCall("nonsense"))
                                    .path("refused")
                                    .asText())
                    .contains("unknown operation 'nonsense'");
        }
    }

    /**
     * Guards against a member that neither voted nor accepted changes after only a snapshot write
     * failed, until its next write of the log succeeded.
     */
    @Test
    void failedSnapshotIsRetriedAndChangesContinue() throws Exception {
        start(0, 1);
        await(() -> leader() == 0);
        String at = clientLinks[0].address();
        try (ClusterClient client = client(0)) {
            client.change(hold("s-1"), false, deadlineMillis());
            long applied = status(client, at).path("applied").asLong();
            Path obstacle =
                    folder.resolve("d0").resolve(String.format("snapshot-%016x.new", applied));
            Files.createDirectories(obstacle.resolve("x"));
            client.send(at, newCall("snapshot"));
            await(() -> !status(client, at).path("disk").asText().isEmpty());
            Files.delete(obstacle.resolve("x"));
            Files.delete(obstacle);
            await(() -> status(client, at).path("snapshot").asLong() == applied);
            assertThat(version(client.change(hold("s-2"), false, deadlineMillis()))).isEqualTo(2);
        }
    }

    private static JsonNode status(ClusterClient client, String address) throws IOException {
        return client.send(address, newCall("status"));
    }

    private static JsonNode changes(ClusterClient client, String address) throws IOException {
        return client.send(address, newCall("log")).path("changes");
    }

    /** Returns the version that a change led to. */
    private static long version(JsonNode answer) {
        return answer.path("answer").path("version").asLong();
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketException reset) {
            return true;
        }
    }

    @Test
    void folderInUseRefusesASecondMember() throws Exception {
        start(0, 1);
        assertThatThrownBy(() -> start(0, 1))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("in use");
    }
}
