package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.cli.Commands;

/**
 * Programs with a limit on their file descriptors, as the platform sets it, while more silent peers
 * connect than there are descriptors.
 */
class DescriptorLimitTest extends ProcessFixture {
    /** The lowest limit that the platform gives a controller. */
    private static final int DESCRIPTORS = 256;

    /** Silent peers beyond the number of descriptors. */
    private static final int PEERS_BEYOND_LIMIT = 44;

    private static final int CONNECT_TIMEOUT_MS = 200;

    /** How long the silent peers stay. */
    private static final int STAY_MS = 3_000;

    /** Launches a program whose process may open a number of descriptors. */
    private LaunchedProcess launchLimited(String file, String... words) throws IOException {
        return launchLimited(DESCRIPTORS, file, words);
    }

    private LaunchedProcess launchLimited(int descriptors, String file, String... words)
            throws IOException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "/bin/sh",
                                "-c",
                                "ulimit -n " + descriptors + " && exec \"$0\" \"$@\"",
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "rockshift.Main"));
        command.addAll(List.of(words));
        return new LaunchedProcess(file, command.toArray(String[]::new));
    }

    private static void connectSilentPeers(int port) throws Exception {
        connectSilentPeers(DESCRIPTORS + PEERS_BEYOND_LIMIT, port);
    }

    private static void connectSilentPeers(int peers, int port) throws Exception {
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < peers; i++) {
            Socket socket = new Socket();
            silent.add(socket);
            try {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        CONNECT_TIMEOUT_MS);
            } catch (IOException refused) {
                // A program may refuse a peer that it has no descriptor for.
            }
        }
        TimeUnit.MILLISECONDS.sleep(STAY_MS);
        for (Socket socket : silent) {
            socket.close();
        }
    }

    /**
     * Guards against a controller that accepts no connection any more: silent peers took the last
     * descriptor, one accept failed, and that ended the accepting thread for good.
     */
    @Test
    void controllerAcceptsAgainAfterMorePeersThanDescriptors() throws Exception {
        String file = configuration("127.0.0.1:0", DESCRIPTORS, SETTINGS, entry("s-1", "Ready", 0));
        LaunchedProcess controller = launchLimited(file, "serve");
        Peer proxy = controller.peer().send("joined sidecar 3 az east share 21.5 standing 1");
        proxy.receive("whole", "1");
        connectSilentPeers(controller.port());
        controller.peer().assertAnswered();
        proxy.assertAnswered();
        assertThat(controller.hasLogged("Too many open files")).isFalse();
    }

    /** Guards against the same for a controller whose configured limit is above the real one. */
    @Test
    void controllerAcceptsAgainIfItsConfiguredLimitIsTooHigh() throws Exception {
        LaunchedProcess controller = launchLimited(configuration(), "serve");
        connectSilentPeers(controller.port());
        controller.peer().assertAnswered();
    }

    /**
     * Guards against the same at the address for members and commands, and at the proxies', with
     * each usual limit.
     */
    @ParameterizedTest
    @ValueSource(ints = {DESCRIPTORS, 512, 1_024})
    void memberAcceptsAgainAfterMorePeersThanDescriptors(int descriptors) throws Exception {
        LaunchedProcess member =
                launchLimited(
                        descriptors, configuration(), "serve", "--operator", soleMemberFile());
        int port = member.port("listens on");
        member.awaitLine("leads in term");
        connectSilentPeers(descriptors + PEERS_BEYOND_LIMIT, port);
        connectSilentPeers(descriptors + PEERS_BEYOND_LIMIT, member.port());
        member.peer().assertAnswered();
        assertThat(Commands.run("cluster", "hold", "s-1", "--force", "--at", "127.0.0.1:" + port))
                .isZero();
    }

    /** Guards against the same at a relay: a controller that starts later must get its state. */
    @Test
    void relayAcceptsAgainAfterMorePeersThanDescriptors() throws Exception {
        LaunchedProcess member =
                launchLimited(configuration(), "serve", "--operator", soleMemberFile());
        String relayFile = relayFile(0, member.port("listens on"));
        LaunchedProcess relay = launchLimited(configuration(), "relay", "--operator", relayFile);
        int relayPort = relay.port("relay listening");
        connectSilentPeers(relayPort);
        LaunchedProcess controller =
                launchLimited(configuration(), "serve", "--operator", subscriberFile(relayPort));
        controller.awaitLine("agreed state in force revision=");
    }
}
