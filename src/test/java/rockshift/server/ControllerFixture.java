package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import rockshift.net.OpenDescriptors;

/** A controller on real loopback sockets, with a fake discovery and peers that a test controls. */
abstract class ControllerFixture {
    /** Time in ms after which an unmet condition fails a test; long enough for a busy machine. */
    static final int AWAIT_TIMEOUT_MS = 60_000;

    static final String SETTINGS =
            "{\"dcs\":[\"east\",\"west\"],\"granularity_us\":5000,\"report\":{\"names\":[\"util\"]},"
                + "\"classes\":[{\"name\":\"cut\",\"worth\":1.0},{\"name\":\"licence\",\"worth\":2.0}],"
                + "\"domain\":{\"proxy_count\":8,\"channel_rate\":5000,\"backlog\":5000.0,"
                + "\"fixed_cost\":3.0},"
                + "\"invariants\":{\"start_capacity\":0.2,\"warm_after_us\":600000000,"
                + "\"fall_multiple\":4.0}}";

    @TempDir Path folder;
    final FakeDiscovery discovery = new FakeDiscovery();
    final ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();
    private final PrintStream originalError = System.err;
    final List<AutoCloseable> resources = new ArrayList<>();

    @BeforeEach
    void captureErrorOutput() {
        System.setErr(new PrintStream(errorOutput, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        discovery.close();
        System.setErr(originalError);
    }

    static String entry(String name, String health, long startedMillis) {
        return "{\"instanceId\":\""
                + name
                + "\",\"hostPort\":\"127.0.0.1:1\",\"zone\":\"east\",\"machineType\":\"m\","
                + "\"cell\":0,\"lifecycle\":\""
                + health
                + "\",\"weight\":1.0,\"startedAtMs\":"
                + startedMillis
                + ",\"later\":{\"x\":[1]}}";
    }

    static String list(int version, boolean whole, String... entries) {
        return "{\"generation\":"
                + version
                + ",\"reset\":"
                + whole
                + ",\"instances\":["
                + String.join(",", entries)
                + "],\"later\":[{}]}";
    }

    String configuration(String listen, int sockets, String settings, String... known)
            throws IOException {
        return configuration(discovery, listen, sockets, settings, known);
    }

    String configuration(
            FakeDiscovery server, String listen, int sockets, String settings, String... known)
            throws IOException {
        String text =
                "{\"name\":\"n1\",\"listen\":\""
                        + listen
                        + "\",\"discovery\":\"127.0.0.1:"
                        + server.port()
                        + "\",\"seed\":\"fe429af2f6dae94c\",\"peers\":[\"x\"],"
                        + "\"limits\":{\"cores\":1.0,\"sockets\":"
                        + sockets
                        + "},\"known\":"
                        + list(7, true, known)
                        + ",\"settings\":"
                        + settings
                        + "}";
        return Files.writeString(folder.resolve("configuration.json"), text).toString();
    }

    ControllerServer startController(int sockets, String... known) throws Exception {
        return startWith(configuration("127.0.0.1:0", sockets, SETTINGS, known));
    }

    ControllerServer startWith(String file) throws Exception {
        ControllerServer controller =
                new ControllerServer(
                        ControllerConfigurationReader.read(file), null, new OpenDescriptors());
        resources.add(controller);
        controller.start();
        return controller;
    }

    ControllerServer startController() throws Exception {
        return startController(1024, entry("s-1", "Ready", 0), entry("s-2", "Ready", 0));
    }

    /** A proxy, a collector or an unidentified peer. */
    final class Peer implements AutoCloseable {
        final Socket socket;
        final RespCodec codec = new RespCodec();

        Peer(ControllerServer controller) throws IOException {
            this(new Socket(InetAddress.getLoopbackAddress(), controller.port()));
        }

        Peer(Socket connected) throws IOException {
            socket = connected;
            socket.setSoTimeout(AWAIT_TIMEOUT_MS);
            resources.add(this);
        }

        Peer send(String message) throws IOException {
            socket.getOutputStream().write(RespCodec.message(List.of(message.split(" "))));
            return this;
        }

        /** Receives the next part of a message, with its kind under the empty name. */
        Map<String, String> receive() throws IOException, MalformedStreamException {
            byte[] chunk = new byte[4096];
            while (!codec.next()) {
                int count = socket.getInputStream().read(chunk);
                assertThat(count).as("bytes read from an open connection").isPositive();
                codec.feed(ByteBuffer.wrap(chunk, 0, count));
            }
            Map<String, String> part = new TreeMap<>(Map.of("", codec.kind()));
            for (String name :
                    List.of(
                            "classes", "whole", "lines", "level", "retry", "out", "back", "ticket",
                            "more")) {
                try {
                    part.put(name, codec.text(name));
                } catch (InvalidMessageException absent) {
                    continue;
                }
            }
            return part;
        }

        /** Receives parts until one has a field that contains a value. */
        Map<String, String> receive(String field, String value)
                throws IOException, MalformedStreamException {
            Map<String, String> part = receive();
            while (!part.getOrDefault(field, "").contains(value)) {
                part = receive();
            }
            return part;
        }

        /**
         * Receives messages up to the one that requests an acknowledgement, each as its list of
         * parts.
         */
        List<List<Map<String, String>>> receiveMessages()
                throws IOException, MalformedStreamException {
            List<List<Map<String, String>>> messages = new ArrayList<>();
            List<Map<String, String>> message = new ArrayList<>();
            Map<String, String> part;
            do {
                part = receive();
                message.add(part);
                if (!part.containsKey("more")) {
                    messages.add(message);
                    message = new ArrayList<>();
                }
            } while (!part.containsKey("ticket"));
            return messages;
        }

        /** Sends a ping and receives messages until its answer. */
        void assertAnswered() throws IOException, MalformedStreamException {
            send("ping");
            while (!receive().get("").equals("pong")) {
                continue;
            }
        }

        /** Waits until the controller has closed the connection. */
        void awaitClosed() throws IOException {
            InputStream in = socket.getInputStream();
            byte[] chunk = new byte[4096];
            try {
                while (in.read(chunk) >= 0) {
                    continue;
                }
            } catch (SocketTimeoutException alive) {
                throw new AssertionError(
                        "expected the connection to be closed, but it is still open", alive);
            } catch (IOException reset) {
                // A reset also closes the connection.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    Peer proxy(ControllerServer controller, int number) throws IOException {
        return new Peer(controller)
                .send("joined sidecar " + number + " az east share 21.5 standing 1");
    }

    static void await(String what, BooleanSupplier condition) {
        for (long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
                !condition.getAsBoolean(); ) {
            assertThat(System.nanoTime()).as(what).isLessThan(end);
            Thread.onSpinWait();
        }
    }

    /** Returns the logged lines that contain a text. */
    Stream<String> loggedLines(String text) {
        return errorOutput
                .toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains(text));
    }

    void awaitLog(String text) {
        await("logged: " + text, () -> errorOutput.toString(StandardCharsets.UTF_8).contains(text));
    }
}
