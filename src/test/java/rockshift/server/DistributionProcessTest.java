package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rockshift.cli.Commands;

/**
 * A member, a relay and a controller that is not a member, each as a process as operators run it.
 */
class DistributionProcessTest extends ProcessFixture {
    private LaunchedProcess member() throws IOException {
        return run("serve", "--operator", soleMemberFile());
    }

    private LaunchedProcess relay(int listen, int upstream) throws IOException {
        return run("relay", "--operator", relayFile(listen, upstream));
    }

    private LaunchedProcess controller(int relay) throws IOException {
        return run("serve", "--operator", subscriberFile(relay));
    }

    private static int runClusterCommand(int member, String... words) {
        List<String> command = new ArrayList<>(List.of("cluster"));
        command.addAll(List.of(words));
        command.addAll(List.of("--at", "127.0.0.1:" + member));
        return Commands.run(command.toArray(String[]::new));
    }

    @Test
    void subscriberAppliesChangesOfItsZoneAndLogsWhenItsStateIsStale() throws Exception {
        LaunchedProcess member = member();
        int memberPort = member.port("listens on");
        member.awaitLine("leads in term");
        LaunchedProcess relay = relay(0, memberPort);
        int relayPort = relay.port("relay listening");
        LaunchedProcess controller = controller(relayPort);
        controller.awaitLine("agreed state in force revision=");
        Peer proxy =
                new Peer(new java.net.Socket("127.0.0.1", controller.port()))
                        .send("joined sidecar 3 az east share 21.5 standing 1");
        proxy.receive("whole", "1");
        assertThat(runClusterCommand(memberPort, "hold", "s-9", "--zone", "west", "--force"))
                .isZero();
        assertThat(runClusterCommand(memberPort, "hold", "s-1", "--service", "shop", "--force"))
                .isZero();
        controller.awaitLine("drainedReplicas=1 ");
        assertThat(controller.hasLogged("drainedReplicas=2 ")).isFalse();
        await(
                "status of the subscriber with revision 2 in force",
                () ->
                        status(memberPort, "--json")
                                .contains("\"subscribers\":1,\"lowest\":2,\"behind\":0"));
        assertThat(status(memberPort))
                .contains(
                        "1 controllers subscribe: version 2 is in force at all of them, 0 behind, 0"
                                + " unreachable");

        relay.signal("TERM");
        relay.assertEnds();
        controller.awaitLine("agreed state stale revision=");
        assertThat(runClusterCommand(memberPort, "back", "s-1")).isZero();
        relay(relayPort, memberPort);
        controller.awaitLine("agreed state up to date again revision=");
        controller.awaitLine("drainedReplicas=0 ");
        controller.signal("TERM");
        controller.assertEnds();
    }

    private static String status(int member, String... options) {
        java.io.PrintStream originalOut = System.out;
        java.io.ByteArrayOutputStream output = new java.io.ByteArrayOutputStream();
        System.setOut(new java.io.PrintStream(output, true));
        try {
            List<String> words = new ArrayList<>(List.of("status"));
            words.addAll(List.of(options));
            runClusterCommand(member, words.toArray(String[]::new));
        } finally {
            System.setOut(originalOut);
        }
        return output.toString();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "name = \"r1\"|nmae = \"r1\"|relay.hcl, line 1, field distribution.name: is"
                        + " missing",
                "relay {|relays = 3 NL relay {|relay.hcl, line 4, field distribution.relays: is"
                        + " unknown",
                "listen = \"127.0.0.1:0\"|listen = \"here\"|distribution.relay.listen: must be an"
                        + " address"
            })
    void invalidRelayFileIsReportedInOneLineWithStatusTwo(String from, String to, String what)
            throws Exception {
        String file =
                operatorFile(
                        "relay",
                        ("distribution {\n"
                                        + "  name = \"r1\"\n"
                                        + "  upstream \"n1\" { address = \"127.0.0.1:1\" }\n"
                                        + "  relay { listen = \"127.0.0.1:0\" }\n"
                                        + "}\n")
                                .replace(from, to.replace("NL", "\n")));
        assertThat(Commands.run("relay", "--operator", file)).isEqualTo(2);
        awaitLog(what);
        assertThat(errorOutput.toString().lines()).hasSize(1);
    }

    @Test
    void controllerFileIsRefusedByARelayAndViceVersa() throws Exception {
        String controller =
                operatorFile(
                        "g",
                        "distribution {\n"
                                + "  name = \"g\"\n"
                                + "  upstream \"r\" { address = \"127.0.0.1:1\" }\n"
                                + "  scope { zones = [\"east\"] }\n"
                                + "}\n");
        assertThat(Commands.run("check", controller)).isZero();
        assertThat(Commands.run("relay", "--operator", controller)).isEqualTo(2);
        awaitLog("field distribution.relay: is missing");
        String relay =
                operatorFile(
                        "r",
                        "distribution {\n"
                                + "  name = \"r\"\n"
                                + "  upstream \"n\" { address = \"127.0.0.1:1\" }\n"
                                + "  relay { listen = \"127.0.0.1:0\" }\n"
                                + "}\n");
        assertThat(Commands.run("check", relay)).isZero();
        assertThat(Commands.run("serve", "--operator", relay)).isEqualTo(2);
        awaitLog("field distribution.relay: is served by 'rockshift relay', not by a controller");
    }

    @Test
    void relayWithItsPortInUseEndsWithStatusOne() throws Exception {
        try (ServerSocket taken = new ServerSocket(0)) {
            LaunchedProcess relay = relay(taken.getLocalPort(), 1);
            assertThat(relay.process.waitFor(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(relay.process.exitValue()).isEqualTo(1);
            relay.awaitLine("cannot listen on");
        }
    }
}
