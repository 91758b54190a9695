package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.model.Endpoint;
import rockshift.settings.ClassSettings;
import rockshift.settings.PlannerSettings;

/**
 * One connection's life with each step taken by hand: bytes, ends and turns of the module come in
 * just the order that a story or a seed has them come in.
 */
class ConnectionLifecycleTest {
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
    private final ProxyConnections streams = new ProxyConnections(loop, SETTINGS, 1024);

    /** What the reactor would hand over: bytes that have come, and where bytes go. */
    private final class Line {
        final IOEventHandler handler;
        private final ArrayDeque<byte[]> came = new ArrayDeque<>();
        private final StringBuilder wrote = new StringBuilder();
        private final IOSession session =
                (IOSession)
                        Proxy.newProxyInstance(
                                IOSession.class.getClassLoader(),
                                new Class<?>[] {IOSession.class},
                                (self, method, arguments) ->
                                        switch (method.getName()) {
                                            case "read" -> read((ByteBuffer) arguments[0]);
                                            case "write" -> write((ByteBuffer) arguments[0]);
                                            case "setEvent" -> event();
                                            case "close" -> close();
                                            case "getRemoteAddress" ->
                                                    new InetSocketAddress(
                                                            InetAddress.getLoopbackAddress(), 9);
                                            case "toString" -> "line";
                                            case "hashCode" -> System.identityHashCode(self);
                                            case "equals" -> self == arguments[0];
                                            default -> null;
                                        });

        /** Whether the selector has let go of it, as it does in the moment that it ends. */
        boolean cancelled;

        boolean closed;
        boolean told;

        Line() throws Exception {
            handler = streams.connection(session);
            handler.connected(session);
        }

        private Object read(ByteBuffer into) {
            byte[] next = came.poll();
            if (next == null) {
                return -1;
            }
            into.put(next);
            return next.length;
        }

        private Object write(ByteBuffer from) {
            int count = from.remaining();
            wrote.append(StandardCharsets.US_ASCII.decode(from));
            return count;
        }

        private Object event() {
            if (cancelled) {
                throw new CancelledKeyException();
            }
            return null;
        }

        private Object close() {
            closed = true;
            return null;
        }

        /** Whole messages in one piece. */
        Line say(String... messages) throws Exception {
            StringBuilder all = new StringBuilder();
            for (String message : messages) {
                all.append(
                        new String(
                                RespCodec.message(List.of(message.split(" "))),
                                StandardCharsets.US_ASCII));
            }
            return bytes(all.toString());
        }

        Line bytes(String text) throws Exception {
            came.add(text.getBytes(StandardCharsets.US_ASCII));
            if (!closed) {
                handler.inputReady(session, null);
            }
            return this;
        }

        /** The other side's end, or the reactor's word that ours is carried out. */
        void end() throws Exception {
            if (!closed) {
                came.clear();
                handler.inputReady(session, null);
            }
            if (!told) {
                told = true;
                handler.disconnected(session);
            }
        }

        /** What it is sent, as far as it was written. */
        String sent() throws Exception {
            if (!closed) {
                handler.outputReady(session);
            }
            return wrote.toString();
        }
    }

    private static String joined(int proxy) {
        return "joined sidecar " + proxy + " az east share 10 standing 1";
    }

    private void list(long replica) {
        loop.listed(
                List.of(new Endpoint(replica, "east", "plain", Endpoint.Health.READY, 0)),
                false,
                Map.of(replica, "s-" + replica));
    }

    @Test
    void messagesInOnePieceWithTheEndCountOnceAndInOrder() throws Exception {
        list(1);
        Line line = new Line();
        line.say(joined(3), "ping", "usage sidecar 3 kind cut n 1 bad 0 window 1000");
        line.end();
        loop.turn();
        assertThat(line.sent()).as("it has left before the module's turn").isEmpty();
        Line next = new Line().say(joined(3));
        loop.turn();
        assertThat(next.sent()).contains("update").contains("s-1");
    }

    /**
     * Nothing that comes behind what ends a connection is taken, though it was read in the same
     * piece.
     */
    @Test
    void whatComesBehindAnUnreadableMessageDoesNotCount() throws Exception {
        list(1);
        Line line = new Line();
        line.bytes(
                "nonsense\r\n"
                        + new String(
                                RespCodec.message(List.of(joined(3).split(" "))),
                                StandardCharsets.US_ASCII));
        loop.turn();
        assertThat(line.closed).isTrue();
        assertThat(line.sent()).isEmpty();
    }

    /**
     * The module's thread sent as the selector let go: the failure ended its whole turn, and what
     * others were owed with it.
     */
    @Test
    void aConnectionThatEndsAsItIsSentToCostsNobodyElseHisMessage() throws Exception {
        list(1);
        Line ending = new Line().say(joined(0));
        Line other = new Line().say(joined(1));
        ending.cancelled = true;
        loop.turn();
        assertThat(other.sent()).contains("update").contains("s-1");
        ending.end();
        loop.turn();
    }

    /** Both orders of the old stream's end and the new stream's joining. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theNewStreamOfAProxyHoldsWhicheverComesFirst(boolean endFirst) throws Exception {
        list(1);
        Line old = new Line().say(joined(2));
        loop.turn();
        assertThat(old.sent()).contains("s-1");
        Line fresh = new Line();
        if (endFirst) {
            old.end();
            fresh.say(joined(2));
        } else {
            fresh.say(joined(2));
            assertThat(old.closed).as("ended by the new one").isTrue();
            old.end();
        }
        loop.turn();
        assertThat(fresh.sent()).contains("whole").contains("s-1");
        list(2);
        loop.turn();
        assertThat(fresh.sent()).as("it is the proxy's still").contains("s-2");
    }

    /**
     * Was one refused, the proxy's old stream would be gone for nothing. None is: its own
     * connection has nothing waiting yet.
     */
    @Test
    void aJoiningIsTakenHoweverMuchOfOthersWaits() throws Exception {
        list(1);
        Line good = new Line().say(joined(2));
        loop.turn();
        AtomicInteger flood = new AtomicInteger();
        while (loop.heard(flood, "east", 1, 1, 0, 1, 1, null)) {
            continue;
        }
        Line fresh = new Line().say("ping", joined(2));
        assertThat(fresh.closed).isFalse();
        assertThat(good.closed).as("replaced").isTrue();
        loop.turn();
        assertThat(fresh.sent()).contains("s-1");
    }

    /** A mark of the old stream means nothing on the new one. */
    @Test
    void aMarkOfAnotherStreamIsNoAnswer() throws Exception {
        list(1);
        Line old = new Line().say(joined(2));
        loop.turn();
        Line fresh = new Line().say("ping", joined(2), "applied sidecar 2 version 1 lag_ms 5");
        old.handler.inputReady(old.session, null);
        loop.turn();
        assertThat(fresh.sent()).contains("ticket");
    }

    /** As the process is told to end: the turn in hand is the last, whatever was told meanwhile. */
    @Test
    void afterTheEndNothingIsDecidedAnyMore() throws Exception {
        list(1);
        CountDownLatch sending = new CountDownLatch(1);
        CountDownLatch closed = new CountDownLatch(1);
        AtomicInteger sent = new AtomicInteger();
        loop.joined(
                new AtomicInteger(),
                0,
                "east",
                1,
                message -> {
                    sent.incrementAndGet();
                    sending.countDown();
                    try {
                        closed.await();
                    } catch (InterruptedException hurried) {
                        Thread.currentThread().interrupt();
                    }
                });
        Thread module = new Thread(loop, "event-loop");
        module.start();
        sending.await();
        loop.joined(new AtomicInteger(), 1, "east", 1, message -> sent.incrementAndGet());
        list(2);
        loop.close();
        closed.countDown();
        module.join();
        assertThat(sent).hasValue(1);
    }

    /**
     * Thousands of strangers left thousands of lines a second. All are told of, most by their
     * number.
     */
    @Test
    void ofManyStrangersTheLogTellsTheNumber() throws Exception {
        PrintStream usual = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
        long since = System.nanoTime();
        try {
            for (int i = 0; i < 3000; i++) {
                new Line().bytes("nonsense\r\n").end();
            }
            long seconds = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - since) + 1;
            Line known = new Line().say(joined(1));
            known.end();
            assertThat(
                            log.toString(StandardCharsets.UTF_8)
                                    .lines()
                                    .filter(line -> line.contains("closed stranger from"))
                                    .count())
                    .isBetween(1L, 50 * (seconds + 1));
            assertThat(log.toString(StandardCharsets.UTF_8)).contains("closed proxy 1 from");
            ControllerFixture.await(
                    "the number of the others",
                    () -> {
                        try {
                            new Line().bytes("nonsense\r\n").end();
                        } catch (Exception failure) {
                            throw new AssertionError(failure);
                        }
                        return log.toString(StandardCharsets.UTF_8)
                                .contains("closed strangers without a line each: {malformed=");
                    });
        } finally {
            System.setErr(usual);
        }
    }

    /** What one proxy's connections should come to, by the messages alone. */
    private static final class Model {
        private final Line[] current = new Line[4];

        void joined(int proxy, Line line) {
            current[proxy] = line;
        }

        void ended(Line line) {
            for (int i = 0; i < current.length; i++) {
                current[i] = current[i] == line ? null : current[i];
            }
        }
    }

    /**
     * Joins, replacements, ends, spoilt messages and marks in any order, with turns of the module
     * anywhere between. In the end each proxy that has a stream hears of a change on that one, and
     * nobody else hears of it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void anyLifeEndsAsThePlainModelSays(long seed) throws Exception {
        Random chance = new Random(seed);
        Model model = new Model();
        List<Line> lines = new ArrayList<>();
        List<Integer> proxies = new ArrayList<>();
        list(1);
        for (int step = 0; step < 200; step++) {
            Line line = lines.isEmpty() ? null : lines.get(chance.nextInt(lines.size()));
            switch (chance.nextInt(7)) {
                case 0, 1 -> {
                    int proxy = chance.nextInt(4);
                    Line fresh = new Line().say(joined(proxy));
                    lines.add(fresh);
                    proxies.add(proxy);
                    model.joined(proxy, fresh);
                }
                case 2 -> {
                    if (line != null) {
                        line.end();
                        model.ended(line);
                    }
                }
                case 3 -> {
                    if (line != null) {
                        line.say(
                                "applied sidecar "
                                        + proxies.get(lines.indexOf(line))
                                        + " version "
                                        + chance.nextInt(9)
                                        + " lag_ms 1",
                                "later",
                                "usage sidecar x");
                    }
                }
                case 4 -> {
                    if (line != null && !line.closed) {
                        line.bytes("nonsense\r\n");
                        model.ended(line);
                    }
                }
                case 5 -> {
                    if (line != null && line.closed) {
                        line.cancelled = true;
                    }
                }
                default -> loop.turn();
            }
        }
        loop.turn();
        for (Line line : lines) {
            if (line.closed) {
                line.end();
            }
        }
        loop.turn();
        list(2);
        loop.turn();
        for (int i = 0; i < lines.size(); i++) {
            boolean holds = model.current[proxies.get(i)] == lines.get(i);
            assertThat(lines.get(i).sent().contains("s-2"))
                    .as("stream " + i + " of proxy " + proxies.get(i))
                    .isEqualTo(holds);
            assertThat(lines.get(i).closed)
                    .as("only the newest stream of a proxy is up")
                    .isNotEqualTo(holds);
        }
    }
}
