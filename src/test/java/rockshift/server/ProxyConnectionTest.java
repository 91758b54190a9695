package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.model.Endpoint;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/**
 * The life of a connection step by step. The order of bytes, closes and turns of the event loop is
 * set by a test or a seed.
 */
class ProxyConnectionTest {
    private static final PlannerSettings SETTINGS =
            PlannerSettings.newBuilder()
                    .zones(List.of("east"))
                    .expectedProxies(4)
                    .classes(List.of(ClassSettings.named("cut").build()))
                    .channelQueueLimitEntries(5000)
                    .channelEntriesPerSecond(5000)
                    .messageOverheadEntries(3)
                    .build();

    private final EventLoop loop = new EventLoop(7, SETTINGS);
    private final ProxyConnections connections = new ProxyConnections(loop, SETTINGS, 1024);

    static String joinMessage(int proxy) {
        return "joined sidecar " + proxy + " az east share 10 standing 1";
    }

    private void listReplica(long replica) {
        loop.submitEndpoints(
                new EndpointList(
                        1,
                        true,
                        List.of(new Endpoint(replica, "east", "plain", Endpoint.Health.READY, 0)),
                        Map.of(replica, "s-" + replica)));
    }

    @Test
    void messagesReadTogetherWithTheCloseAreAppliedOnceInOrder() throws Exception {
        listReplica(1);
        FakeConnection connection = new FakeConnection(connections);
        connection.receive(
                joinMessage(3), "ping", "usage sidecar 3 kind cut n 1 bad 0 window 1000");
        connection.disconnect();
        loop.turn();
        assertThat(connection.sent()).as("messages to a proxy that left before the turn").isEmpty();
        FakeConnection next = new FakeConnection(connections).receive(joinMessage(3));
        loop.turn();
        assertThat(next.sent()).contains("update").contains("s-1");
    }

    /** A valid message that is read together with malformed bytes before it must be ignored. */
    @Test
    void messagesAfterMalformedBytesAreIgnored() throws Exception {
        listReplica(1);
        FakeConnection connection = new FakeConnection(connections);
        connection.receiveBytes(
                "nonsense\r\n"
                        + new String(
                                RespCodec.message(List.of(joinMessage(3).split(" "))),
                                StandardCharsets.US_ASCII));
        loop.turn();
        assertThat(connection.isClosed()).isTrue();
        assertThat(connection.sent()).isEmpty();
    }

    /**
     * The event loop sent to a connection whose selection key had just been cancelled. The
     * exception ended the whole turn, and other proxies lost their messages.
     */
    @Test
    void closeDuringSendDoesNotAffectOtherProxies() throws Exception {
        listReplica(1);
        FakeConnection ending = new FakeConnection(connections).receive(joinMessage(0));
        FakeConnection other = new FakeConnection(connections).receive(joinMessage(1));
        ending.cancelKey();
        loop.turn();
        assertThat(other.sent()).contains("update").contains("s-1");
        ending.disconnect();
        loop.turn();
    }

    /** The end of a proxy's old connection and its join on a new one can come in either order. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void newConnectionOfAProxyIsKeptWhicheverEventComesFirst(boolean endFirst) throws Exception {
        listReplica(1);
        FakeConnection old = new FakeConnection(connections).receive(joinMessage(2));
        loop.turn();
        assertThat(old.sent()).contains("s-1");
        FakeConnection fresh = new FakeConnection(connections);
        if (endFirst) {
            old.disconnect();
            fresh.receive(joinMessage(2));
        } else {
            fresh.receive(joinMessage(2));
            assertThat(old.isClosed()).as("old connection is closed").isTrue();
            old.disconnect();
        }
        loop.turn();
        assertThat(fresh.sent()).contains("whole").contains("s-1");
        listReplica(2);
        loop.turn();
        assertThat(fresh.sent()).as("messages on the new connection").contains("s-2");
    }

    /**
     * A proxy must be able to reconnect while the queue is full. Its join is accepted, because a
     * new connection has nothing queued yet.
     */
    @Test
    void joinIsAcceptedWhenOthersHaveFilledTheQueue() throws Exception {
        listReplica(1);
        FakeConnection old = new FakeConnection(connections).receive(joinMessage(2));
        loop.turn();
        PlannerEvent report =
                new PlannerEvent.LoadReported(new LoadReport("east", 1, 1, 0, 1, 1, null));
        AtomicInteger pendingOfOthers = new AtomicInteger();
        while (loop.offer(pendingOfOthers, report)) {
            continue;
        }
        FakeConnection fresh = new FakeConnection(connections).receive("ping", joinMessage(2));
        assertThat(fresh.isClosed()).isFalse();
        assertThat(old.isClosed()).as("old connection is closed").isTrue();
        loop.turn();
        assertThat(fresh.sent()).contains("s-1");
    }

    /**
     * The acknowledgement of a message on a proxy's old connection must not count for the new one.
     */
    @Test
    void acknowledgementOfAnotherConnectionIsIgnored() throws Exception {
        listReplica(1);
        FakeConnection old = new FakeConnection(connections).receive(joinMessage(2));
        loop.turn();
        FakeConnection fresh =
                new FakeConnection(connections)
                        .receive("ping", joinMessage(2), "applied sidecar 2 version 1 lag_ms 5");
        old.reportReadable();
        loop.turn();
        assertThat(fresh.sent()).contains("ticket");
    }

    private void join(int proxy, ProxyChannel channel) {
        loop.submit(new PlannerEvent.ProxyJoined(new ProxyJoin(proxy, "east", 1, false), channel));
    }

    /**
     * The loop is closed during a turn. That turn is the last, whatever has been queued meanwhile.
     */
    @Test
    void noTurnBeginsAfterClose() throws Exception {
        listReplica(1);
        CountDownLatch sending = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        AtomicInteger sent = new AtomicInteger();
        join(
                0,
                message -> {
                    sent.incrementAndGet();
                    sending.countDown();
                    try {
                        closed.await();
                    } catch (InterruptedException interrupted) {
                        Thread.currentThread().interrupt();
                    }
                });
        Thread loopThread = new Thread(loop, "event-loop");
        loopThread.start();
        sending.await();
        join(1, message -> sent.incrementAndGet());
        listReplica(2);
        loop.close();
        closed.countDown();
        loopThread.join();
        assertThat(sent).hasValue(1);
    }

    /**
     * Thousands of unidentified connections caused thousands of log lines per second. Now most of
     * them are only counted in the log.
     */
    @Test
    void closesOfManyUnidentifiedConnectionsAreCountedInTheLog() throws Exception {
        PrintStream originalError = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        long since = System.nanoTime();
        try {
            for (int i = 0; i < 3000; i++) {
                new FakeConnection(connections).receiveBytes("nonsense\r\n").disconnect();
            }
            long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - since) + 1;
            FakeConnection known = new FakeConnection(connections).receive(joinMessage(1));
            known.disconnect();
            assertThat(
                            log.toString(StandardCharsets.UTF_8)
                                    .lines()
                                    .filter(
                                            line ->
                                                    line.contains(
                                                            "closed connection peer=unidentified "))
                                    .count())
                    .isBetween(1L, 50 * (seconds + 1));
            assertThat(log.toString(StandardCharsets.UTF_8))
                    .contains("closed connection peer=proxy-1 ");
            ControllerFixture.await(
                    "the line with the count of the other connections",
                    () -> {
                        try {
                            new FakeConnection(connections)
                                    .receiveBytes("nonsense\r\n")
                                    .disconnect();
                        } catch (Exception failure) {
                            throw new AssertionError(failure);
                        }
                        return log.toString(StandardCharsets.UTF_8)
                                .contains(
                                        "closed unidentified connections, not logged individually:"
                                                + " countByReason={malformed=");
                    });
        } finally {
            System.setErr(originalError);
        }
    }

    /**
     * Joins, reconnects, closes, invalid messages and acknowledgements come in any order, with
     * turns of the event loop in between. In the end each connected proxy receives a change on its
     * newest connection, and no other connection receives it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void anySequenceOfConnectionEventsMatchesTheModel(long seed) throws Exception {
        RandomConnectionHistory history = new RandomConnectionHistory(seed, connections, loop);
        listReplica(1);
        for (int step = 0; step < 200; step++) {
            history.step();
        }
        loop.turn();
        history.reportCloses();
        loop.turn();
        listReplica(2);
        loop.turn();
        history.assertSentOnExpectedConnectionsOnly("s-2");
    }
}
