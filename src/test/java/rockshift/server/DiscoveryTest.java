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
import org.apache.hc.core5.io.CloseMode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.settings.PlannerSettings;

/** The watch of discovery against a peer that does each thing just when a story says so. */
class DiscoveryTest extends ControllerFixture {
    private static final String WHOLE = "GET /discovery/hosts HTTP/1.1";

    /**
     * Ms: the shortest grace of a drain that deployments tell; the next call follows a lost one
     * well within it.
     */
    private static final int GRACE = 3_000;

    private final Scripted scripted = new Scripted(50);
    private final EventLoop loop =
            new EventLoop(7, PlannerSettings.newBuilder().zones(List.of("east")).build());
    private final List<DiscoveryClient.Listing> taken =
            Collections.synchronizedList(new ArrayList<>());
    private DiscoveryClient client;

    /** Takes a connection, reads a call and writes an answer when it is told to, and not before. */
    private static final class Scripted implements AutoCloseable {
        final ServerSocket listener;
        private final List<Socket> sockets = new ArrayList<>();

        Scripted(int backlog) {
            try {
                listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
                listener.setSoTimeout(LONG);
            } catch (IOException failure) {
                throw new AssertionError(failure);
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        Socket accept() throws IOException {
            Socket socket = listener.accept();
            socket.setSoTimeout(LONG);
            sockets.add(socket);
            return socket;
        }

        /** The next call on a new connection. */
        Socket called(String call) throws IOException {
            Socket socket = accept();
            assertThat(Discovery.call(socket)).isEqualTo(call);
            return socket;
        }

        static void say(Socket socket, String text) throws IOException {
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

    private static String watch(int version) {
        return "GET /discovery/hosts?index=" + version + "&wait=1000 HTTP/1.1";
    }

    private DiscoveryClient begun() {
        loop.listing = taken::add;
        return begun(scripted);
    }

    private DiscoveryClient begun(Scripted at) {
        client = new DiscoveryClient(at.address(), loop);
        client.start();
        return client;
    }

    private static boolean runs() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(thread -> thread.getName().equals("discovery-client"));
    }

    @AfterEach
    void end() throws IOException {
        if (client != null) {
            client.close();
            await("its thread ends", () -> !runs());
        }
        scripted.close();
    }

    // ---- another address, and the end ----

    /**
     * Holds the client's thread as it hands on a list, and lets no interrupt out: what any code on
     * the way may do.
     */
    private static final class Swallowing {
        final CountDownLatch entered = new CountDownLatch(1);
        private final CountDownLatch interrupted = new CountDownLatch(1);

        void hold(DiscoveryClient.Listing listing) {
            entered.countDown();
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException lost) {
                interrupted.countDown();
            }
        }
    }

    /**
     * The watch left an address by an interrupt alone, and one that was lost had it stay for good.
     */
    @Test
    void anAddressIsLeftThoughTheInterruptIsLost() throws Exception {
        Swallowing swallowing = new Swallowing();
        loop.listing = swallowing::hold;
        DiscoveryClient moved = begun(scripted);
        Scripted.say(
                scripted.called(WHOLE), Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        swallowing.entered.await();
        try (Scripted other = new Scripted(50)) {
            moved.follow(other.address());
            swallowing.interrupted.await();
            loop.listing = taken::add;
            Scripted.say(
                    other.called(WHOLE), Discovery.http(list(3, true, entry("s-2", "Ready", 0))));
            await("its list", () -> taken.size() == 1);
            assertThat(taken.get(0).names()).containsValue("s-2");
        }
    }

    @Test
    void theWatchEndsThoughTheInterruptIsLost() throws Exception {
        Swallowing swallowing = new Swallowing();
        loop.listing = swallowing::hold;
        begun(scripted);
        Scripted.say(
                scripted.called(WHOLE), Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        swallowing.entered.await();
        client.close();
        await("its thread ends", () -> !runs());
    }

    /**
     * What is in hand when the address moves counts neither half nor in place of what the new
     * address says.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void anAddressIsLeftWithAnAnswerInHand(String half) throws Exception {
        begun();
        Socket old = scripted.called(WHOLE);
        Scripted.say(old, half);
        try (Scripted other = new Scripted(50)) {
            client.follow(other.address());
            Scripted.say(
                    other.called(WHOLE), Discovery.http(list(3, true, entry("s-2", "Ready", 0))));
            await("its list", () -> taken.size() == 1);
            assertThat(old.getInputStream().read()).as("the old connection is ended").isNegative();
        }
    }

    @Test
    void anAddressThatIsToldAndTakenBackIsAskedAnew() throws Exception {
        begun();
        Socket first = scripted.called(WHOLE);
        Scripted.say(first, Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(Discovery.call(first)).isEqualTo(watch(41));
        client.follow(new InetSocketAddress("127.0.0.1", 9));
        client.follow(scripted.address());
        scripted.called(WHOLE);
    }

    // ---- silence ----

    /** The first call was given up after 5 s, and nothing was heard of drains meanwhile. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"gener"
            })
    void silenceFromTheFirstCallOnIsFollowedByTheNextWithinTheGrace(String half) throws Exception {
        begun();
        Socket silent = scripted.called(WHOLE);
        long since = System.nanoTime();
        Scripted.say(silent, half);
        Socket next = scripted.called(WHOLE);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since)).isLessThan(GRACE);
        assertThat(silent.getInputStream().read())
                .as("the silent connection is ended")
                .isNegative();
        Scripted.say(next, Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        await("the list", () -> taken.size() == 1);
    }

    /**
     * What a call that was given up says afterwards is said again to the next one, and counts once.
     */
    @Test
    void anAnswerAfterTheCallWasGivenUpIsAskedForAgain() throws Exception {
        begun();
        Socket silent = scripted.called(WHOLE);
        Socket next = scripted.called(WHOLE);
        try {
            Scripted.say(silent, Discovery.http(list(40, true, entry("s-9", "Ready", 0))));
        } catch (IOException ended) {
            // The other end has seen it go already.
        }
        Scripted.say(next, Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(Discovery.call(next)).isEqualTo(watch(41));
        assertThat(taken).hasSize(1);
    }

    /**
     * A connection that came up after it was given up stayed in use for the client, which has room
     * for twenty.
     */
    @Test
    void aConnectionThatComesUpTooLateIsEnded() throws Exception {
        try (Scripted full = new Scripted(1)) {
            List<Socket> before = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                before.add(new Socket(InetAddress.getLoopbackAddress(), full.address().getPort()));
            }
            loop.listing = taken::add;
            begun(full);
            awaitLog("discovery: java.util.concurrent.TimeoutException");
            for (int i = 0; i < 2; i++) {
                full.accept();
            }
            boolean called = false;
            for (int ended = 0; ended == 0 || !called; ) {
                String call = Discovery.call(full.accept());
                called |= WHOLE.equals(call);
                ended += call == null ? 1 : 0;
            }
            for (Socket socket : before) {
                socket.close();
            }
        }
    }

    /** Whatever ends the client's own thread: the watch goes on with another. */
    @Test
    void aClientThatHasEndedIsReplaced() throws Exception {
        begun();
        Socket first = scripted.called(WHOLE);
        Scripted.say(first, Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(Discovery.call(first)).isEqualTo(watch(41));
        client.client.close(CloseMode.IMMEDIATE);
        Scripted.say(
                scripted.called(watch(41)),
                Discovery.http(list(42, false, entry("s-1", "Terminating", 0))));
        await("the change", () -> taken.size() == 2);
    }

    // ---- answers ----

    @Test
    void aConnectionThatEndsInTheInstantOfItsAnswerCostsNothing() throws Exception {
        begun();
        for (int version = 41; version < 45; version++) {
            Socket call = scripted.called(version == 41 ? WHOLE : watch(version - 1));
            Scripted.say(
                    call,
                    Discovery.http(
                            list(version, version == 41, entry("s-" + version, "Ready", 0))));
            call.close();
        }
        scripted.called(watch(44));
        assertThat(taken).hasSize(4);
    }

    /**
     * What is older was taken for newer. Where discovery says it again when asked for all, it has
     * begun anew.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anOlderVersionIsNotTakenUntilAllIsAskedFor(boolean whole) throws Exception {
        begun();
        Socket call = scripted.called(WHOLE);
        Scripted.say(call, Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        assertThat(Discovery.call(call)).isEqualTo(watch(41));
        Scripted.say(call, Discovery.http(list(40, whole, entry("s-0", "Ready", 0))));
        Socket again = scripted.called(WHOLE);
        assertThat(taken).hasSize(1);
        Scripted.say(again, Discovery.http(list(2, true, entry("s-2", "Ready", 0))));
        assertThat(Discovery.call(again)).isEqualTo(watch(2));
        assertThat(taken).hasSize(2);
    }

    /** Nobody knows since when these are the changes. */
    @Test
    void changesInPlaceOfTheWholeListAreNotTaken() throws Exception {
        begun();
        Socket call = scripted.called(WHOLE);
        Scripted.say(call, Discovery.http(list(41, false, entry("s-1", "Gone", 0))));
        Scripted.say(
                scripted.called(WHOLE), Discovery.http(list(41, true, entry("s-1", "Ready", 0))));
        await("the list", () -> taken.size() == 1);
        assertThat(taken.get(0).whole()).isTrue();
    }

    @Test
    void theSameVersionAgainIsNoChange() throws Exception {
        begun();
        Socket call = scripted.called(WHOLE);
        for (boolean whole : new boolean[] {true, false, true, false}) {
            Scripted.say(call, Discovery.http(list(41, whole, entry("s-1", "Ready", 0))));
            assertThat(Discovery.call(call)).isEqualTo(watch(41));
        }
    }
}
