package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rockshift.cli.Commands;

/**
 * A member, a relay and a governor that is no member, each a process of its own, as staff run them.
 */
class DistributionProcessTest extends ProcessFixture {
    private Launched run(String... words) throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "rockshift.Main"));
        command.addAll(List.of(words));
        return new Launched(configuration(), command.toArray(String[]::new));
    }

    private String operator(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name + ".hcl"), text).toString();
    }

    private Launched member() throws IOException {
        return run(
                "serve",
                "--operator",
                operator(
                        "member",
                        "cluster {\n  name = \"n1\"\n  listen = \"127.0.0.1:0\"\n"
                                + "  folder = \""
                                + folder.resolve("n1")
                                + "\"\n  election = \"300ms\"\n"
                                + "  founder \"n1\" { address = \"127.0.0.1:0\" }\n}\n"));
    }

    private Launched relay(int listen, int upstream) throws IOException {
        return run(
                "relay",
                "--operator",
                operator(
                        "relay",
                        "distribution {\n  name = \"r1\"\n"
                                + "  upstream \"n1\" { address = \"127.0.0.1:"
                                + upstream
                                + "\" }\n"
                                + "  relay { listen = \"127.0.0.1:"
                                + listen
                                + "\" }\n}\n"));
    }

    private Launched governor(int relay) throws IOException {
        return run(
                "serve",
                "--operator",
                operator(
                        "governor",
                        "distribution {\n  name = \"g1\"\n"
                                + "  upstream \"r1\" { address = \"127.0.0.1:"
                                + relay
                                + "\" }\n"
                                + "  scope { zones = [\"east\"] }\n}\n"));
    }

    private static int staff(int member, String... words) {
        List<String> command = new ArrayList<>(List.of("cluster"));
        command.addAll(List.of(words));
        command.addAll(List.of("--at", "127.0.0.1:" + member));
        return Commands.run(command.toArray(String[]::new));
    }

    @Test
    void aGovernorGoesByWhatConcernsItsZoneAndSaysWhenItIsCutOff() throws Exception {
        Launched member = member();
        int agreed = member.port("listens on");
        member.awaitLine("leads in term");
        Launched relay = relay(0, agreed);
        int relayed = relay.port("relay listening");
        Launched governor = governor(relayed);
        governor.awaitLine("agreed state in force revision=");
        Peer proxy =
                new Peer(new java.net.Socket("127.0.0.1", governor.port()))
                        .say("joined sidecar 3 az east share 21.5 standing 1");
        proxy.hear("whole", "1");
        assertThat(staff(agreed, "hold", "s-9", "--zone", "west", "--force")).isZero();
        assertThat(staff(agreed, "hold", "s-1", "--service", "shop", "--force")).isZero();
        governor.awaitLine("drainedReplicas=1 ");
        assertThat(governor.said("drainedReplicas=2 ")).isFalse();
        await(
                "in force below",
                () ->
                        status(agreed, "--json")
                                .contains("\"subscribers\":1,\"lowest\":2,\"behind\":0"));
        assertThat(status(agreed))
                .contains(
                        "1 governors subscribe: version 2 is in force at all of them, 0 behind, 0"
                                + " unreachable");

        relay.signal("TERM");
        relay.assertEnds();
        governor.awaitLine("agreed state stale revision=");
        assertThat(staff(agreed, "back", "s-1")).isZero();
        relay(relayed, agreed);
        governor.awaitLine("agreed state up to date again revision=");
        governor.awaitLine("drainedReplicas=0 ");
        governor.signal("TERM");
        governor.assertEnds();
    }

    private static String status(int member, String... options) {
        java.io.PrintStream usual = System.out;
        java.io.ByteArrayOutputStream said = new java.io.ByteArrayOutputStream();
        System.setOut(new java.io.PrintStream(said, true));
        try {
            List<String> words = new ArrayList<>(List.of("status"));
            words.addAll(List.of(options));
            staff(member, words.toArray(String[]::new));
        } finally {
            System.setOut(usual);
        }
        return said.toString();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"r1\"|nmae = \"r1\"|relay.hcl, line 1, field distribution.name: is"
                        + " missing",
                "relay {|relays = 3 NL relay {|relay.hcl, line 4, field distribution.relays: is not"
                        + " known here",
                "listen = \"127.0.0.1:0\"|listen = \"here\"|distribution.relay.listen: must be an"
                        + " address"
            })
    void aRelaysFileThatCanNotBeUsedIsNamedInOneLineWithStatusTwo(
            String from, String to, String what) throws Exception {
        String file =
                operator(
                        "relay",
                        ("distribution {\n"
                                        + "  name = \"r1\"\n"
                                        + "  upstream \"n1\" { address = \"127.0.0.1:1\" }\n"
                                        + "  relay { listen = \"127.0.0.1:0\" }\n"
                                        + "}\n")
                                .replace(from, to.replace("NL", "\n")));
        assertThat(Commands.run("relay", "--operator", file)).isEqualTo(2);
        awaitLog(what);
        assertThat(logged.toString().lines()).hasSize(1);
    }

    @Test
    void aGovernorsFileIsNoRelaysAndTheOtherWayRound() throws Exception {
        String governor =
                operator(
                        "g",
                        "distribution {\n"
                                + "  name = \"g\"\n"
                                + "  upstream \"r\" { address = \"127.0.0.1:1\" }\n"
                                + "  scope { zones = [\"east\"] }\n"
                                + "}\n");
        assertThat(Commands.run("check", governor)).isZero();
        assertThat(Commands.run("relay", "--operator", governor)).isEqualTo(2);
        awaitLog("field distribution.relay: is missing");
        String relay =
                operator(
                        "r",
                        "distribution {\n"
                                + "  name = \"r\"\n"
                                + "  upstream \"n\" { address = \"127.0.0.1:1\" }\n"
                                + "  relay { listen = \"127.0.0.1:0\" }\n"
                                + "}\n");
        assertThat(Commands.run("check", relay)).isZero();
        assertThat(Commands.run("serve", "--operator", relay)).isEqualTo(2);
        awaitLog("field distribution.relay: is served by 'rockshift relay', not by a governor");
    }

    @Test
    void aRelayThatCanNotListenSaysSoWithStatusOne() throws Exception {
        try (ServerSocket taken = new ServerSocket(0)) {
            Launched relay = relay(taken.getLocalPort(), 1);
            assertThat(relay.process.waitFor(LONG, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(relay.process.exitValue()).isEqualTo(1);
            relay.awaitLine("cannot listen on");
        }
    }
}
