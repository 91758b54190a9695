package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import rockshift.distribution.DistributionMessage.Subscribe;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.wire.DistributionCodec;
import rockshift.wire.Frames;

/**
 * Processes with the memory limits of the deploy file, whose peers together hold more than that in
 * unfinished messages.
 */
class OverloadedProcessTest extends ProcessFixture {
    private static final int FIELDS = 40_000;
    private static final int FRAME_BYTES = 1 << 20;
    private static final int SCOPE_NAMES = 4_096;
    private static final int WATCHES = 12;
    private static final int WATCH_INTERVAL_MS = 500;

    /** The options of the deploy file's command, with the same limits for each program. */
    private LaunchedProcess launch(String... words) throws IOException {
        String deployment = Files.readString(Path.of("deploy", "balancer.toml"));
        Matcher run = Pattern.compile("exec java (.*) -jar").matcher(deployment);
        assertThat(run.find()).isTrue();
        List<String> command = new ArrayList<>(List.of(java()));
        command.addAll(List.of(run.group(1).split(" ")));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "rockshift.Main"));
        command.addAll(List.of(words));
        String settings = SETTINGS.replace("\"proxy_count\":8", "\"proxy_count\":400");
        return new LaunchedProcess(
                configuration("127.0.0.1:0", 1024, settings, entry("s-1", "Ready", 0)),
                command.toArray(String[]::new));
    }

    /** Writes as much as the process takes; it may close the connection meanwhile. */
    private void writeAll(List<Socket> sockets, byte[] bytes) throws InterruptedException {
        List<Thread> writers = new ArrayList<>();
        for (Socket socket : sockets) {
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    OutputStream out = socket.getOutputStream();
                                    out.write(bytes);
                                } catch (IOException closed) {
                                    // The process has closed it, which is its right.
                                }
                            });
            writer.setDaemon(true);
            writer.start();
            writers.add(writer);
        }
        for (Thread writer : writers) {
            writer.join(AWAIT_TIMEOUT_MS);
        }
    }

    /** Sends a ping from time to time, as the process reads only after the bytes were written. */
    private static void assertStaysAlive(LaunchedProcess watched, Peer quiet) throws Exception {
        for (int i = 0; i < WATCHES; i++) {
            TimeUnit.MILLISECONDS.sleep(WATCH_INTERVAL_MS);
            quiet.assertAnswered();
            assertThat(watched.process.isAlive()).isTrue();
        }
    }

    private List<Socket> connect(int port, int count) throws IOException {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            resources.add(socket);
            sockets.add(socket);
        }
        return sockets;
    }

    private static byte[] unfinishedFrame() {
        byte[] frame = new byte[FRAME_BYTES];
        ByteBuffer.wrap(frame).putInt(FRAME_BYTES).putInt(0);
        return frame;
    }

    /** Guards against the end of a controller by unfinished messages of many short fields. */
    @Test
    void controllerOutlivesUnfinishedMessagesOfManyFields() throws Exception {
        LaunchedProcess controller = launch("serve");
        int port = controller.port();
        Peer quiet = controller.peer().send("joined sidecar 399 az east share 21.5 standing 1");
        quiet.receive("whole", "1");
        List<Socket> peers = connect(port, 300);
        for (int i = 0; i < peers.size(); i++) {
            new Peer(peers.get(i)).send("joined sidecar " + i + " az east share 21.5 standing 1");
        }
        StringBuilder message = new StringBuilder("*").append(2 * FIELDS + 1).append("\r\n");
        message.append("$5\r\nusage\r\n");
        for (int i = 0; i < FIELDS; i++) {
            message.append("$1\r\na\r\n");
        }
        writeAll(peers, message.toString().getBytes(StandardCharsets.US_ASCII));
        assertStaysAlive(controller, quiet);
    }

    /** Guards against the end of a member by connections that stop within a long frame. */
    @Test
    void memberOutlivesUnfinishedFrames() throws Exception {
        LaunchedProcess member = launch("serve", "--operator", soleMemberFile());
        int port = member.port("listens on");
        member.awaitLine("leads in term");
        Peer quiet = member.peer().send("joined sidecar 399 az east share 21.5 standing 1");
        quiet.receive("whole", "1");
        writeAll(connect(port, 120), unfinishedFrame());
        assertStaysAlive(member, quiet);
    }

    /** Guards against the end of a relay by connections that stop within a long frame. */
    @Test
    void relayOutlivesUnfinishedFrames() throws Exception {
        assertRelayOutlives(400, number -> unfinishedFrame());
    }

    /** Guards against the end of a relay by subscribers of which each names thousands of zones. */
    @Test
    void relayOutlivesScopesOfManyNames() throws Exception {
        assertRelayOutlives(150, OverloadedProcessTest::subscription);
    }

    /** Sends bytes on many connections to a relay that has another subscriber. */
    private void assertRelayOutlives(int connections, IntFunction<byte[]> bytes) throws Exception {
        LaunchedProcess member = launch("serve", "--operator", soleMemberFile());
        member.awaitLine("leads in term");
        LaunchedProcess relay =
                launch("relay", "--operator", relayFile(0, member.port("listens on")));
        int port = relay.port("relay listening");
        LaunchedProcess controller = launch("serve", "--operator", subscriberFile(port));
        controller.awaitLine("agreed state in force");
        Peer quiet = controller.peer().send("joined sidecar 399 az east share 21.5 standing 1");
        for (int number = 0; number < connections; number++) {
            writeAll(connect(port, 1), bytes.apply(number));
        }
        assertStaysAlive(relay, quiet);
        assertThat(controller.hasLogged("closed upstream connection")).isFalse();
    }

    private static byte[] subscription(int number) {
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < SCOPE_NAMES; i++) {
            names.add("z".repeat(80) + number + "-" + i);
        }
        Subscribe message =
                new Subscribe("s" + number, 1, Scope.of(Set.of(), names), Revision.NONE, 0);
        try {
            return Frames.frame(Frames.WATCH, DistributionCodec.write(message));
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }
}
