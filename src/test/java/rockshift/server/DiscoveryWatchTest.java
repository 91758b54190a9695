package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.settings.PlannerSettings;

/** The watch of discovery against a server that a test controls step by step. */
class DiscoveryWatchTest extends ControllerFixture {
    private static final String WHOLE_LIST_REQUEST = "GET /discovery/hosts HTTP/1.1";

    /**
     * Shortest drain grace of any deployment, in ms. A lost call is followed by the next one well
     * within it.
     */
    private static final int DRAIN_GRACE_MS = 3_000;

    private final ScriptedServer scripted = new ScriptedServer(50);
    private final EventLoop loop =
            new EventLoop(7, PlannerSettings.newBuilder().zones(List.of("east")).build());
    private final List<EndpointList> accepted = Collections.synchronizedList(new ArrayList<>());
    private final DiscoveryHttpClient http = DiscoveryWatch.newHttpClient();
    private DiscoveryWatch watch;

    /** Accepts a connection, reads a call and writes an answer only when a test says so. */
    private static final class ScriptedServer implements AutoCloseable {
        private final ServerSocket listener;
        private final List<Socket> sockets = new ArrayList<>();

        ScriptedServer(int backlog) {
            try {
                listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
                listener.setSoTimeout(AWAIT_TIMEOUT_MS);
            } catch (IOException failure) {
                throw new AssertionError(failure);
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        Socket accept() throws IOException {
            Socket socket = listener.accept();
            socket.setSoTimeout(AWAIT_TIMEOUT_MS);
            sockets.add(socket);
            return socket;
        }

        /** Accepts a connection and reads its first call. */
        Socket acceptRequest(String call) throws IOException {
            Socket socket = accept();
            assertThat(FakeDiscovery.readRequestLine(socket)).isEqualTo(call);
            return socket;
        }

        static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static String watchRequest(int version) {
        return "GET /discovery/hosts?index=" + version + "&wait=1000 HTTP/1.1";
    }

    private DiscoveryWatch startWatch() {
        loop.setEndpointListener(accepted::add);
        return startWatch(scripted);
    }

    private DiscoveryWatch startWatch(ScriptedServer at) {
        watch = new DiscoveryWatch(at.address(), loop, http);
        watch.start();
        return watch;
    }

    private static boolean isWatchThreadAlive() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("discovery-watch"));
    }

    @AfterEach
    void closeWatch() throws IOException {
        if (watch != null) {
            watch.close();
            await("the end of the watch's thread", () -> !isWatchThreadAlive());
        }
        scripted.close();
    }

    /**
     * Blocks the watch's thread when it submits a list, and swallows its interrupt, as any code
     * that it calls may do.
     */
    private static final class InterruptSwallowingListener {
        private final CountDownLatch entered = new CountDownLatch(1);
        private final CountDownLatch interrupted = new CountDownLatch(1);

        void hold(EndpointList listing) {
            entered.countDown();
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException lost) {
                interrupted.countDown();
            }
        }
    }

    /**
     * Only an interrupt made the watch leave an address. If other code swallowed the interrupt, the
     * watch kept the old address forever.
     */
    @Test
    void addressChangeTakesEffectWithoutTheInterrupt() throws Exception {
        InterruptSwallowingListener swallowing = new InterruptSwallowingListener();
        loop.setEndpointListener(swallowing::hold);
        DiscoveryWatch moved = startWatch(scripted);
        ScriptedServer.write(
                scripted.acceptRequest(WHOLE_LIST_REQUEST),
                FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        swallowing.entered.await();
        try (ScriptedServer other = new ScriptedServer(50)) {
            moved.follow(other.address());
            swallowing.interrupted.await();
            loop.setEndpointListener(accepted::add);
            ScriptedServer.write(
                    other.acceptRequest(WHOLE_LIST_REQUEST),
                    FakeDiscovery.http(list(3, true, entry("s-2", "Ready", 0))));
            await("the list of the new address", () -> accepted.size() == 1);
            assertThat(accepted.get(0).names()).containsValue("s-2");
        }
    }

    /** Only an interrupt made the watch end, with the same effect if it was swallowed. */
    @Test
    void closeTakesEffectWithoutTheInterrupt() throws Exception {
        InterruptSwallowingListener swallowing = new InterruptSwallowingListener();
        loop.setEndpointListener(swallowing::hold);
        startWatch(scripted);
        ScriptedServer.write(
                scripted.acceptRequest(WHOLE_LIST_REQUEST),
                FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        swallowing.entered.await();
        watch.close();
        await("the end of the watch's thread", () -> !isWatchThreadAlive());
    }

    /**
     * A part of an answer has been received when the address changes. It is dropped, and does not
     * replace any of the new address's answer.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void addressChangeDropsAPartialAnswer(String partialAnswer) throws Exception {
        startWatch();
        Socket old = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        ScriptedServer.write(old, partialAnswer);
        try (ScriptedServer other = new ScriptedServer(50)) {
            watch.follow(other.address());
            ScriptedServer.write(
                    other.acceptRequest(WHOLE_LIST_REQUEST),
                    FakeDiscovery.http(list(3, true, entry("s-2", "Ready", 0))));
            await("the list of the new address", () -> accepted.size() == 1);
            assertThat(old.getInputStream().read())
                    .as("read at the end of the old connection")
                    .isNegative();
        }
    }

    @Test
    void addressChangedBackIsAskedForTheWholeList() throws Exception {
        startWatch();
        Socket first = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        ScriptedServer.write(first, FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(FakeDiscovery.readRequestLine(first)).isEqualTo(watchRequest(41));
        watch.follow(new InetSocketAddress("127.0.0.1", 9));
        watch.follow(scripted.address());
        scripted.acceptRequest(WHOLE_LIST_REQUEST);
    }

    /**
     * Discovery did not answer the first call. The call timed out only after 5 s, and drains were
     * unknown meanwhile.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void silentFirstCallIsRetriedWithinTheDrainGrace(String partialAnswer) throws Exception {
        startWatch();
        Socket silent = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        long since = System.nanoTime();
        ScriptedServer.write(silent, partialAnswer);
        Socket next = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since))
                .isLessThan(DRAIN_GRACE_MS);
        assertThat(silent.getInputStream().read())
                .as("read at the end of the silent connection")
                .isNegative();
        ScriptedServer.write(next, FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        await("the list", () -> accepted.size() == 1);
    }

    /**
     * An answer arrives after its call has timed out. It is dropped; the next call returns the
     * list, which is accepted once.
     */
    @Test
    void answerAfterTheTimeoutIsAskedForAgain() throws Exception {
        startWatch();
        Socket silent = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        Socket next = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        try {
            ScriptedServer.write(
                    silent, FakeDiscovery.http(list(40, true, entry("s-9", "Ready", 0))));
        } catch (IOException ended) {
            // The watch has closed the connection already.
        }
        ScriptedServer.write(next, FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(FakeDiscovery.readRequestLine(next)).isEqualTo(watchRequest(41));
        assertThat(accepted).hasSize(1);
    }

    /**
     * A connection that was established after its timeout stayed in use in the HTTP library, which
     * allows only twenty.
     */
    @Test
    void connectionEstablishedAfterTheTimeoutIsClosed() throws Exception {
        try (ScriptedServer full = new ScriptedServer(1)) {
            List<Socket> before = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                before.add(new Socket(InetAddress.getLoopbackAddress(), full.address().getPort()));
            }
            loop.setEndpointListener(accepted::add);
            startWatch(full);
            awaitLog(
                    "discovery call failed keptVersion=-1"
                            + " cause=\"java.util.concurrent.TimeoutException");
            for (int i = 0; i < 2; i++) {
                full.accept();
            }
            boolean called = false;
            for (int ended = 0; ended == 0 || !called; ) {
                String call = FakeDiscovery.readRequestLine(full.accept());
                called |= WHOLE_LIST_REQUEST.equals(call);
                ended += call == null ? 1 : 0;
            }
            for (Socket socket : before) {
                socket.close();
            }
        }
    }

    /** If the HTTP library's own thread ends, the watch continues with a new one. */
    @Test
    void stoppedTransportIsReplaced() throws Exception {
        startWatch();
        Socket first = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        ScriptedServer.write(first, FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(FakeDiscovery.readRequestLine(first)).isEqualTo(watchRequest(41));
        http.close();
        ScriptedServer.write(
                scripted.acceptRequest(watchRequest(41)),
                FakeDiscovery.http(list(42, false, entry("s-1", "Terminating", 0))));
        await("the change", () -> accepted.size() == 2);
    }

    @Test
    void connectionClosedWithItsAnswerLosesNothing() throws Exception {
        startWatch();
        for (int version = 41; version < 45; version++) {
            Socket call =
                    scripted.acceptRequest(
                            version == 41 ? WHOLE_LIST_REQUEST : watchRequest(version - 1));
            ScriptedServer.write(
                    call,
                    FakeDiscovery.http(
                            list(version, version == 41, entry("s-" + version, "Ready", 0))));
            call.close();
        }
        scripted.acceptRequest(watchRequest(44));
        assertThat(accepted).hasSize(4);
    }

    /**
     * A list with an older version was accepted as a newer one. If discovery still answers with an
     * older version when asked for the whole list, it has restarted, and the list is accepted.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void olderVersionIsRefusedAndTheWholeListAskedFor(boolean whole) throws Exception {
        startWatch();
        Socket call = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        ScriptedServer.write(call, FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(FakeDiscovery.readRequestLine(call)).isEqualTo(watchRequest(41));
        ScriptedServer.write(call, FakeDiscovery.http(list(40, whole, entry("s-0", "Ready", 0))));
        Socket again = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        assertThat(accepted).hasSize(1);
        ScriptedServer.write(again, FakeDiscovery.http(list(2, true, entry("s-2", "Ready", 0))));
        assertThat(FakeDiscovery.readRequestLine(again)).isEqualTo(watchRequest(2));
        assertThat(accepted).hasSize(2);
    }

    /**
     * Discovery answers a request for the whole list with changes. The version that they are
     * relative to is unknown.
     */
    @Test
    void changesInPlaceOfTheWholeListAreRefused() throws Exception {
        startWatch();
        Socket call = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        ScriptedServer.write(call, FakeDiscovery.http(list(41, false, entry("s-1", "Gone", 0))));
        ScriptedServer.write(
                scripted.acceptRequest(WHOLE_LIST_REQUEST),
                FakeDiscovery.http(list(41, true, entry("s-1", "Ready", 0))));
        await("the list", () -> accepted.size() == 1);
        assertThat(accepted.get(0).whole()).isTrue();
    }

    @Test
    void listWithTheSameVersionIsAccepted() throws Exception {
        startWatch();
        Socket call = scripted.acceptRequest(WHOLE_LIST_REQUEST);
        for (boolean whole : new boolean[] {true, false, true, false}) {
            ScriptedServer.write(
                    call, FakeDiscovery.http(list(41, whole, entry("s-1", "Ready", 0))));
            assertThat(FakeDiscovery.readRequestLine(call)).isEqualTo(watchRequest(41));
        }
    }
}
