package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingOverrides;

/** Stories of a governor on real loopback sockets, with a stand-in for discovery. */
class ControllerTest extends ControllerFixture {
    // ---- proxies ----

    @Test
    void aProxyThatJoinsIsSentItsTablesAndAnswersTheMark() throws Exception {
        Peer proxy = proxy(serve(), 3);
        Map<String, String> first = proxy.hear();
        assertThat(first)
                .containsEntry("", "update")
                .containsEntry("classes", "cut")
                .containsEntry("whole", "1")
                .containsEntry("more", "1")
                .doesNotContainKey("ticket");
        assertThat(first.get("lines").split(","))
                .hasSize(2)
                .allMatch(line -> line.matches("s-[12]:0\\.5"));
        Map<String, String> last = proxy.hear();
        assertThat(last)
                .containsEntry("classes", "licence")
                .containsKey("ticket")
                .doesNotContainKeys("more", "back");
        proxy.say("applied sidecar 3 version " + last.get("ticket") + " lag_ms 310.4");
        proxy.assertAnswered();
    }

    @Test
    void bytesMayComeOneAtATime() throws Exception {
        ControllerServer serve = serve();
        Peer proxy = new Peer(serve);
        proxy.socket.setTcpNoDelay(true);
        for (byte b :
                RespCodec.message(
                        List.of("joined sidecar 3 az east share 21.5 standing 1".split(" ")))) {
            proxy.socket.getOutputStream().write(b);
            new Peer(serve).assertAnswered();
        }
        assertThat(proxy.hear()).containsEntry("whole", "1");
    }

    /**
     * A proxy dials again before its old stream is seen to end: the late end takes nobody with it.
     */
    @Test
    void theLateEndOfAReplacedStreamIsNoLeaving() throws Exception {
        ControllerServer serve = serve();
        Peer old = proxy(serve, 3);
        old.hear("ticket", "");
        Peer fresh = proxy(serve, 3);
        fresh.hear("whole", "1");
        awaitLog("closed proxy 3");
        discovery.say(list(8, true, entry("s-1", "Ready", 0), entry("s-2", "Terminating", 0)));
        assertThat(fresh.hear("lines", "s-2:0.0")).doesNotContainKey("whole");
    }

    /** Both clocks meet: a replica that started a moment ago is cold, as the module must see. */
    @Test
    void aReplicaThatHasJustStartedGetsTheWeightOfAColdOne() throws Exception {
        Peer proxy =
                proxy(
                        serve(
                                1024,
                                entry("s-1", "Ready", 0),
                                entry("s-2", "Ready", System.currentTimeMillis())),
                        3);
        String[] lines = proxy.hear().get("lines").split(",");
        double cold = 0;
        for (String line : lines) {
            cold += line.startsWith("s-2:") ? Double.parseDouble(line.substring(4)) : 0;
        }
        assertThat(cold).isPositive().isLessThan(0.3);
    }

    @Test
    void whatProxiesMetReachesTheModule() throws Exception {
        ControllerServer serve =
                serve(
                        1024,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0));
        proxy(serve, 3).hear();
        Peer collector = new Peer(serve).say("collector az east");
        for (int i = 1; i <= 3; i++) {
            collector.say(
                    "heard az east host s-"
                            + i
                            + " n 50 bad "
                            + (i == 3 ? 50 : 0)
                            + " avg 41.7 window 1000.0 report inflight:7,util:0.61 later x");
            collector.say("heard az east host s-unlisted n 5 bad 1 avg 41.7 window 1000.0");
            collector.say("usage sidecar 3 kind cut n 19 bad 0 window 1000.0");
            collector.say("usage sidecar 7 kind cut n 19 bad 0 window 1000.0");
        }
        awaitLog("ejected replica=s-3 ");
        collector.assertAnswered();
    }

    /** Terms with classes of such names, each other one of which keeps to the proxy's zone. */
    private static String classes(int count) {
        String names =
                IntStream.range(0, count)
                        .mapToObj(k -> "{\"name\":\"class-" + k + "\"}")
                        .collect(Collectors.joining(","));
        String atHome =
                IntStream.range(0, count)
                        .mapToObj(k -> Boolean.toString(k % 2 == 0))
                        .collect(Collectors.joining(","));
        return TERMS.replaceAll("\"classes\":\\[.*?]", "\"classes\":[" + names + "]")
                .replace("\"domain\":{", "\"domain\":{\"class_own_zone\":[" + atHome + "],");
    }

    private static Map<String, Double> weights(Map<String, String> part) {
        return Arrays.stream(part.get("lines").split(","))
                .map(line -> line.split(":"))
                .collect(Collectors.toMap(line -> line[0], line -> Double.valueOf(line[1])));
    }

    /**
     * From 32 classes on, a proxy was sent tables for class-0+class-32 and so on, and one class
     * went by the table of another. A message has 64 parts at most, and each class brings one.
     */
    @ParameterizedTest
    @ValueSource(ints = {31, 32, 33, 40, 64, 65, 70})
    void eachOfManyClassesGetsItsOwnTableAndNoOther(int count) throws Exception {
        String west = entry("s-2", "Ready", 0).replace("east", "west");
        ControllerServer serve =
                started(
                        configuration(
                                "127.0.0.1:0",
                                1024,
                                classes(count),
                                entry("s-1", "Ready", 0),
                                west));
        Peer proxy = proxy(serve, 3);
        List<List<Map<String, String>>> messages = proxy.messages();
        assertThat(messages).hasSize(count > 64 ? 2 : 1).allMatch(message -> message.size() <= 64);
        List<Map<String, String>> parts = messages.stream().flatMap(List::stream).toList();
        assertThat(parts)
                .extracting(part -> part.get("classes"))
                .containsExactlyElementsOf(
                        IntStream.range(0, count).mapToObj(k -> "class-" + k).toList());
        for (int k = 0; k < count; k++) {
            String[] replicas = k % 2 == 0 ? new String[] {"s-1"} : new String[] {"s-1", "s-2"};
            assertThat(parts.get(k)).as("class %d", k).containsEntry("whole", "1");
            assertThat(weights(parts.get(k)))
                    .as("class %d", k)
                    .containsOnlyKeys(replicas)
                    .allSatisfy((replica, weight) -> assertThat(weight).isPositive());
        }
        proxy.say("usage sidecar 3 kind class-" + (count - 1) + " n 1 bad 0 window 1000")
                .assertAnswered();
        assertThat(lines("dropped")).isEmpty();
    }

    // ---- peers that do harm ----

    @ParameterizedTest
    @CsvSource({
        "hello, unknown-kind",
        "joined az east share 1 standing 1, bad-field",
        "joined sidecar 8 az east share 1 standing 1, bad-field",
        "joined sidecar -1 az east share 1, bad-field",
        "joined sidecar 1 az north share 1 standing 1, bad-field",
        "joined sidecar 1 az east share x, bad-field",
        "joined sidecar 1.5 az east share 1 standing 1, bad-field",
        "collector az north, bad-field",
        "heard az east host s-1 n 1 bad 0 avg 1 window 1, unexpected",
        "applied sidecar 1 version 1, unexpected",
        "usage sidecar 1 kind cut n 1 bad 0 window 1, unexpected",
        "joined sidecar, bad-field"
    })
    void aMessageThatCannotBeUsedEndsItsConnectionAlone(String words, String code)
            throws Exception {
        ControllerServer serve = serve();
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        new Peer(serve).say(words).ended();
        awaitLog(code);
        assertThat(lines("closed")).as("one line for the connection").hasSize(1);
        proxy.assertAnswered();
    }

    /**
     * Each of these ended its collector, and what came after it was lost until that had dialled
     * again.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "heard az east host s-3 n 1 bad 2 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 1",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report util:much",
                "heard az east host s-3 n 9 bad 0 avg 1 window 0",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report nan",
                "heard az west host s-3 n 1 bad 0 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1 report util:7",
                "heard az east host s-3 n 1 bad 0 avg 1 window 1e8",
                "heard az east n 1 bad 0 avg 1 window 1",
                "heard az east host s-3 n 1 bad 0 avg 38654705664 window 1",
                "heard az east host s-3 n 38654705664 bad 0 avg 1 window 1",
                "usage sidecar 1 kind none n 1 bad 0 window 1",
                "usage sidecar 1 kind cut n 1 window 1",
                "usage sidecar s-zz kind cut n 1 bad 0 window 1",
                "usage sidecar",
                "later az east",
                "applied sidecar 3 version 1 lag_ms 1",
                "joined sidecar 1 az east share 1 standing 1"
            })
    void aSpoiltReportIsDroppedWholeAndItsGoodNeighboursCount(String words) throws Exception {
        ControllerServer serve =
                serve(
                        1024,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0));
        proxy(serve, 3).hear();
        Peer collector = new Peer(serve).say("collector az east").say(words).say(words);
        for (int i = 1; i <= 3; i++) {
            collector
                    .say(
                            "heard az east host s-"
                                    + i
                                    + " n 50 bad "
                                    + (i == 3 ? 50 : 0)
                                    + " avg 41.7 window 1000.0 report util:0.61")
                    .say(words);
        }
        awaitLog("ejected replica=s-3 scope=all failureRatio=1.00");
        collector.assertAnswered();
        collector.close();
        awaitLog("5 messages dropped");
        assertThat(lines("dropped a message")).as("one line for the trouble").hasSize(1);
    }

    @Test
    void aSpoiltMarkOrReportCostsAProxyThatMessageAlone() throws Exception {
        ControllerServer serve = serve();
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        for (String words :
                List.of(
                        "applied version 1 lag_ms 1",
                        "applied sidecar 3 version 1e+30 lag_ms 1",
                        "applied sidecar 3 version 1",
                        "applied sidecar 4 version 1 lag_ms 1",
                        "joined sidecar 3 az east share 1",
                        "usage sidecar 4 kind cut n 1 bad 0 window 1",
                        "usage sidecar 3 kind cut n nan bad 0 window 1")) {
            proxy.say(words).assertAnswered();
        }
        proxy.close();
        awaitLog("7 messages dropped");
    }

    /**
     * Incident r49bae4: answers fail after the span in which their transactions came, and such
     * reports were dropped.
     */
    @Test
    void aReportInWhichMoreFailedThanCameIsGood() throws Exception {
        ControllerServer serve = serve();
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        proxy.say("usage sidecar 3 kind cut n 0 bad 13 window 2000.0").assertAnswered();
        proxy.close();
        awaitLog("closed proxy 3");
        assertThat(logged.toString(StandardCharsets.UTF_8)).doesNotContain("dropped");
    }

    /** What can't be read has no end that could be found: its stream is of no further use. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1\r\n\r\n",
                "*1\r\n:5\r\n",
                "*3\r\n$4\r\nnope!\r\n",
                "$-1\r\n"
            })
    void aKnownPartyThatGoesOnUnreadablyIsEndedAtOnce(String bytes) throws Exception {
        ControllerServer serve = serve();
        Peer proxy = proxy(serve, 3);
        proxy.hear();
        proxy.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        proxy.ended();
        awaitLog("malformed");
    }

    /**
     * Some ask for a sign of life and stay, some send a byte now and then: each held a descriptor
     * all day.
     */
    @Test
    void whoHasNotJoinedInTimeIsEndedWhateverItSays() throws Exception {
        ControllerServer serve = serve();
        Peer proxy = proxy(serve, 3);
        proxy.hear();
        Peer silent = new Peer(serve);
        Peer half = new Peer(serve);
        half.socket.getOutputStream().write("*5\r\n$6\r\njoi".getBytes(StandardCharsets.US_ASCII));
        Peer asking = new Peer(serve);
        assertThatThrownBy(
                        () -> {
                            while (true) {
                                asking.assertAnswered();
                            }
                        })
                .isInstanceOfAny(IOException.class, AssertionError.class);
        silent.ended();
        half.ended();
        proxy.assertAnswered();
        assertThat(lines("not-joined")).hasSize(3);
    }

    /** Dials again and again, as a proxy does, until the governor answers. */
    private void dialUntilAnswered(ControllerServer serve) {
        await(
                "an answer",
                () -> {
                    try (Peer peer = proxy(serve, 4)) {
                        peer.assertAnswered();
                        return true;
                    } catch (IOException | RespCodec.Broken | AssertionError notTaken) {
                        return false;
                    }
                });
    }

    /**
     * Descriptors run out else. Who has just come may have spoken already, and is left its time.
     */
    @Test
    void strangersThatSayNothingMakeRoomForProxies() throws Exception {
        ControllerServer serve = serve(48 + 4, entry("s-1", "Ready", 0));
        Peer proxy = proxy(serve, 3);
        proxy.hear();
        List<Peer> strangers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            strangers.add(new Peer(serve));
        }
        strangers.get(3).ended();
        dialUntilAnswered(serve);
        strangers.get(0).ended();
        proxy.assertAnswered();
        awaitLog("crowded");
    }

    /**
     * The listener took more than there were descriptors for before the reactor had made room, and
     * died.
     */
    @Test
    void strangersThatComeAllAtOnceTakeNoMoreDescriptorsThanAllowed() throws Exception {
        ControllerServer serve = serve(48 + 4, entry("s-1", "Ready", 0));
        UnixOperatingSystemMXBean system =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long before = system.getOpenFileDescriptorCount();
        long most = 0;
        for (int i = 1; i <= 500; i++) {
            new Peer(serve);
            most = Math.max(most, system.getOpenFileDescriptorCount() - before - i);
        }
        assertThat(most)
                .as("the governor's ends of the connections")
                .isPositive()
                .isLessThan(4 + 48);
        dialUntilAnswered(serve);
    }

    /**
     * A machine that vanishes ends no connection: each time its party dials again one more would
     * stay.
     */
    @Test
    void aStreamThatIsReplacedIsEnded() throws Exception {
        ControllerServer serve = serve();
        for (String words :
                List.of("joined sidecar 3 az east share 21.5 standing 1", "collector az east")) {
            Peer gone = new Peer(serve).say(words);
            gone.assertAnswered();
            Peer fresh = new Peer(serve).say(words);
            gone.ended();
            fresh.assertAnswered();
        }
        awaitLog("closed collector of east");
        assertThat(lines("replaced")).hasSize(2);
    }

    /** While the module stands still, one party's flood must cost nobody else a connection. */
    @Test
    void onlyWhoHasMuchWaitingIsRefusedByAFullQueue() {
        EventLoop still =
                new EventLoop(7, PlannerSettings.newBuilder().zones(List.of("east")).build());
        AtomicInteger flood = new AtomicInteger();
        while (still.heard(flood, "east", 1, 1, 0, 1, 1, null)) {
            assertThat(flood.get()).isLessThanOrEqualTo(EventLoop.MOST_WAITING);
        }
        assertThat(still.joined(new AtomicInteger(), 1, "east", 1, message -> {})).isTrue();
        assertThat(still.heard(flood, "east", 1, 1, 0, 1, 1, null)).isFalse();
    }

    @Test
    void aPartyThatLeavesItsAnswersUnreadIsReset() throws Exception {
        ControllerServer serve = serve();
        Peer deaf = new Peer(serve);
        byte[] ping = RespCodec.message(List.of("ping"));
        ByteBuffer many = ByteBuffer.allocate(ping.length * 5000);
        while (many.hasRemaining()) {
            many.put(ping);
        }
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 5000; i++) {
                                deaf.socket.getOutputStream().write(many.array());
                            }
                        })
                .as("350 MB of questions")
                .isInstanceOf(IOException.class);
        awaitLog("unread");
        new Peer(serve).assertAnswered();
    }

    /** Each may hold a mebibyte, and many together would hold all the memory. */
    @Test
    void unfinishedLongMessagesAreBoundedAllTogether() throws Exception {
        ControllerServer serve = serve();
        byte[] long1 = RespCodec.message(List.of("heard", "host", "x".repeat(900_000)));
        for (int i = 0; i < 60; i++) {
            try {
                new Peer(serve).socket.getOutputStream().write(long1, 0, 850_000);
            } catch (IOException ended) {
                continue;
            }
        }
        awaitLog("flood");
        new Peer(serve).assertAnswered();
    }

    // ---- discovery ----

    @Test
    void theWholeListIsFollowedByWatchesOfWhatIsNewer() throws Exception {
        Peer proxy = proxy(serve(), 3);
        proxy.hear("ticket", "");
        discovery.say(list(41, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
        assertThat(proxy.hear("lines", "s-2:0.0").get("lines"))
                .as("not on the list")
                .contains("s-3:");
        discovery.say(list(43, false, entry("s-1", "Gone", 0)));
        proxy.hear("lines", "s-1:0.0");
        discovery.say(list(43, false));
        discovery.say(list(44, false));
        await("a third watch", () -> discovery.calls.size() == 4);
        assertThat(discovery.calls)
                .containsExactly(
                        "GET /discovery/hosts HTTP/1.1",
                        "GET /discovery/hosts?index=41&wait=1000 HTTP/1.1",
                        "GET /discovery/hosts?index=43&wait=1000 HTTP/1.1",
                        "GET /discovery/hosts?index=44&wait=1000 HTTP/1.1");
    }

    /**
     * A watch that fell silent hid a release for 22 s, while the grace of whoever drained ran for
     * 3.
     */
    @Test
    void aWatchThatFallsSilentIsAskedAgainWithinTheGrace() throws Exception {
        Peer proxy = proxy(serve(), 3);
        proxy.hear("ticket", "");
        discovery.say(list(41, true, entry("s-1", "Ready", 0), entry("s-2", "Ready", 0)));
        discovery.answers.add(Discovery.SILENCE);
        await("the watch is silent", () -> discovery.calls.size() == 2);
        long since = System.nanoTime();
        discovery.say(list(42, false, entry("s-1", "Terminating", 0)));
        proxy.hear("lines", "s-1:0.0");
        assertThat(System.nanoTime() - since).isLessThan(TimeUnit.SECONDS.toNanos(3));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                "nonsense",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"half",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"a\":1,,}",
                "HTTP/1.1 200 OK\r\nContent-Length: 9999999999\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nhalf"
            })
    void anAnswerThatCannotBeReadKeepsTheListAndIsAskedForAgain(String answer) throws Exception {
        Peer proxy = proxy(serve(), 3);
        proxy.hear("ticket", "");
        discovery.answers.add(answer);
        awaitLog("discovery: ");
        discovery.say(
                list(
                        41,
                        true,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0)));
        assertThat(proxy.hear("lines", "s-3:").get("lines"))
                .as("nothing was lost")
                .doesNotContain(":0.0,");
    }

    // ---- another file ----

    /**
     * The signal's usual effect ended the process. The watch of the old address was held, and its
     * answer would be of a list that is no longer in force.
     */
    @Test
    void aNewFileUnderLoadMovesTheWatchAndNothingElse() throws Exception {
        String file =
                configuration(
                        "127.0.0.1:0",
                        1024,
                        TERMS,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0));
        ControllerServer serve = started(file);
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        discovery.say(list(41, true, entry("s-1", "Ready", 0), entry("s-2", "Ready", 0)));
        await("a watch", () -> discovery.calls.size() == 2);
        try (Discovery other = new Discovery()) {
            configuration(other, "127.0.0.1:9", 1024, TERMS, entry("s-old", "Ready", 0));
            serve.reload(file);
            other.say(list(3, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
            assertThat(proxy.hear("lines", "s-3:").get("lines"))
                    .contains("s-2:0.0")
                    .doesNotContain("s-old");
            await("a watch there", () -> other.calls.size() == 2);
            assertThat(other.calls)
                    .containsExactly(
                            "GET /discovery/hosts HTTP/1.1",
                            "GET /discovery/hosts?index=3&wait=1000 HTTP/1.1");
            serve.reload(file);
            other.say(list(4, false, entry("s-1", "Gone", 0)));
            proxy.hear("lines", "s-1:0.0");
            assertThat(discovery.calls).as("left alone").hasSize(2);
        }
        awaitLog("takes a restart: listen");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{\"seed\":\"x\"}",
                "{\"discovery\":\"127.0.0.1:99999\"}",
                "{\"name\":\"n1\",\"lis"
            })
    void aNewFileThatCannotBeUsedLeavesTheOldInForce(String text) throws Exception {
        String file = configuration("127.0.0.1:0", 1024, TERMS, entry("s-1", "Ready", 0));
        ControllerServer serve = started(file);
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        Files.writeString(Path.of(file), text);
        serve.reload(file);
        Files.delete(Path.of(file));
        serve.reload(file);
        discovery.say(list(41, true, entry("s-1", "Ready", 0), entry("s-3", "Ready", 0)));
        proxy.hear("lines", "s-3:");
        assertThat(lines("stays in force")).hasSize(2).allMatch(line -> line.contains(file));
    }

    /**
     * In a herd all proxies come to one governor: whom it could not take is told before, not then.
     */
    @Test
    void descriptorsThatAreTooFewForAllProxiesAreNamedAtStart() throws Exception {
        serve(50, entry("s-1", "Ready", 0));
        awaitLog("limits.sockets 50: 8 of the proxies told could not all join here");
        logged.reset();
        serve(60, entry("s-1", "Ready", 0));
        awaitLog("n1 serves on");
        assertThat(lines("could not all join")).isEmpty();
    }

    /**
     * Regina-south, herd+mass: drains broke where few lines a second met all proxies; it can be
     * told before.
     */
    @Test
    void aChannelThatCanNotTellAllProxiesOfADrainInTimeIsNamedAtStart() throws Exception {
        started(
                configuration(
                        "127.0.0.1:0",
                        1024,
                        TERMS.replace(
                                        "\"channel_rate\":5000,\"backlog\":5000.0",
                                        "\"channel_rate\":10,\"backlog\":39.0")
                                .replace(
                                        "\"fall_multiple\"",
                                        "\"drain_grace_us\":3000000,\"fall_multiple\""),
                        entry("s-1", "Ready", 0)));
        awaitLog("domain.backlog 39: one drain told to all 8 proxies at once comes to 40 lines");
        awaitLog(
                "domain.channel_rate 10: one drain told to all 8 proxies"
                        + " takes 4.0 of the 3.0 s that it is given");
        logged.reset();
        serve();
        awaitLog("n1 serves on");
        assertThat(lines("one drain told to all")).isEmpty();
    }

    /** The signal's usual effect is the process's end. */
    @Test
    void aProcessOutlivesSighupAndEndsOnSigterm() throws Exception {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "rockshift.Main",
                        "serve");
        builder.environment()
                .put(
                        "RELAY_CONFIG",
                        configuration("127.0.0.1:0", 1024, TERMS, entry("s-1", "Ready", 0)));
        Process process = builder.start();
        open.add(process::destroyForcibly);
        try (BufferedReader log = process.errorReader()) {
            await("serves", () -> log.lines().anyMatch(line -> line.contains("n1 serves on")));
            for (int i = 0; i < 2; i++) {
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
                await(
                        "read again",
                        () -> log.lines().anyMatch(line -> line.contains("read again")));
            }
            process.destroy();
            assertThat(process.waitFor(LONG, TimeUnit.MILLISECONDS)).isTrue();
            assertThat(process.exitValue()).isZero();
        }
    }

    /**
     * Nothing that one governor was told is another's, in one process either: names of which one
     * begins the other among it.
     */
    @Test
    void twoGovernorsWithOtherTermsNeverMeet() throws Exception {
        ControllerServer one = serve();
        String terms =
                TERMS.replace("\"cut\"", "\"cut-all\"")
                        .replace("\"licence\"", "\"cut\"")
                        .replace("\"east\",\"west\"", "\"east\"");
        ControllerServer other =
                started(
                        configuration(
                                "127.0.0.1:0",
                                1024,
                                terms,
                                entry("s-1", "Ready", 0),
                                entry("s-11", "Ready", 0)));
        Peer there = proxy(other, 3);
        Peer here = proxy(one, 3);
        assertThat(here.hear())
                .containsEntry("classes", "cut")
                .extractingByKey("lines")
                .asString()
                .contains("s-2:")
                .doesNotContain("s-11:");
        assertThat(here.hear()).containsEntry("classes", "licence");
        assertThat(there.hear())
                .containsEntry("classes", "cut-all")
                .extractingByKey("lines")
                .asString()
                .contains("s-11:");
        assertThat(there.hear()).containsEntry("classes", "cut");
        new Peer(other).say("collector az west").ended();
        new Peer(one).say("collector az west").assertAnswered();
        there.say("usage sidecar 3 kind licence n 1 bad 0 window 1000").assertAnswered();
        awaitLog("dropped a message of proxy 3");
    }

    // ---- start ----

    @ParameterizedTest
    @CsvSource({
        "listen, field listen is missing",
        "discovery, field discovery is missing",
        "seed, field seed",
        "known, field known",
        "dcs, (zones)",
        "classes, (classes)",
        "proxy_count, (proxies)",
        "name, (class.0.name)"
    })
    void aConfigurationThatLacksWhatIsNeededIsNamedWithTheField(String field, String told)
            throws Exception {
        String file = configuration("127.0.0.1:0", 1024, TERMS, entry("s-1", "Ready", 0));
        Files.writeString(
                Path.of(file),
                Files.readString(Path.of(file)).replace("\"" + field + "\"", "\"other\""));
        assertThat(ControllerServer.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(logged.toString(StandardCharsets.UTF_8).trim())
                .contains(file, told)
                .doesNotContain("\n");
    }

    @ParameterizedTest
    @CsvSource({
        "licence, cut, class.1.name, 'cut' repeats class.0.name",
        "licence, '', class.1.name, is empty",
        "cut, a+b, class.0.name, 'a+b' holds '+'",
        "licence, 'a,b', class.1.name, 'a,b' holds ','",
        "licence, a:b, class.1.name, 'a:b' holds ':'"
    })
    @Timeout(60)
    void aClassNameThatCanNotBeUsedIsNamedWithItsFieldAndPlace(
            String name, String bad, String field, String why) throws Exception {
        String terms =
                TERMS.replace("\"classes\"", "\n\"classes\"")
                        .replace("\"" + name + "\"", "\"" + bad + "\"");
        String file = configuration("127.0.0.1:0", 1024, terms, entry("s-1", "Ready", 0));
        int column = terms.lines().toList().get(1).lastIndexOf("\"" + bad + "\"") + 1;
        assertThat(ControllerServer.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(logged.toString(StandardCharsets.UTF_8).trim())
                .doesNotContain("\n")
                .startsWith(
                        file + ": line 2, column " + column + ": field settings (" + field + ") ")
                .contains(why);
    }

    /** A new file whose classes can't be told apart leaves what was read before in force. */
    @Test
    void aNewFileWithARepeatedClassNameLosesNothing() throws Exception {
        String file =
                configuration(
                        "127.0.0.1:0",
                        1024,
                        TERMS,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0));
        ControllerServer serve = started(file);
        Peer proxy = proxy(serve, 3);
        proxy.hear("ticket", "");
        configuration(
                "127.0.0.1:0", 1024, TERMS.replace("licence", "cut"), entry("s-1", "Ready", 0));
        serve.reload(file);
        assertThat(lines("the file before stays in force"))
                .singleElement()
                .asString()
                .contains("class.1.name");
        discovery.say(list(8, true, entry("s-1", "Ready", 0), entry("s-2", "Terminating", 0)));
        assertThat(proxy.hear("lines", "s-2:0.0")).containsEntry("classes", "cut");
    }

    @ParameterizedTest
    @CsvSource({
        "'', JSON",
        "'[]', JSON",
        "'{\"seed\":\"x\"}', seed",
        "'{\"listen\":\"x\"}', listen",
        "'{\"known\":3}', known",
        "'{\"limits\":3}', limits"
    })
    void aConfigurationThatIsNoJsonOrGarbledIsNamed(String text, String told) throws Exception {
        String file = Files.writeString(folder.resolve("garbled.json"), text).toString();
        assertThat(ControllerServer.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(
                        ControllerServer.run(
                                Map.of("RELAY_CONFIG", file + ".missing"),
                                new ProcessSignals(),
                                null))
                .isEqualTo(2);
        assertThat(logged.toString(StandardCharsets.UTF_8).lines())
                .hasSize(2)
                .first()
                .asString()
                .contains(file, told);
    }

    @Test
    void aPortInUseIsOneLineAndAStatus() throws Exception {
        try (ServerSocket taken = new ServerSocket()) {
            taken.bind(new InetSocketAddress("127.0.0.1", 0));
            String address = "127.0.0.1:" + taken.getLocalPort();
            Map<String, String> environment =
                    Map.of("RELAY_CONFIG", configuration(address, 1024, TERMS));
            assertThat(ControllerServer.run(environment, new ProcessSignals(), null)).isEqualTo(1);
            assertThat(logged.toString(StandardCharsets.UTF_8).trim())
                    .contains(address)
                    .doesNotContain("\n");
        }
    }

    /** A setting that cannot be read used to fail in each planning round instead. */
    @ParameterizedTest
    @CsvSource({
        "'\"fixed_cost\":3.0', '\"push_price\":\"dear\"', domain.push_price: a number from 0",
        "'\"backlog\":5000.0', '\"backlog\":-1', domain.backlog: a number from 0",
        "'\"proxy_count\":8', '\"proxy_count\":\"few\"', domain.proxy_count: a number from 0",
        "'\"granularity_us\":5000', '\"granularity_us\":\"x\"', granularity_us: a time in"
                + " microseconds"
    })
    void aSettingThatCanNotBeReadIsNamedWithItsField(String field, String bad, String told)
            throws Exception {
        String terms = TERMS.replace(field, bad);
        assertThat(terms).isNotEqualTo(TERMS);
        String file = configuration("127.0.0.1:0", 1024, terms, entry("s-1", "Ready", 0));
        assertThat(ControllerServer.run(Map.of("RELAY_CONFIG", file), new ProcessSignals(), null))
                .isEqualTo(2);
        assertThat(logged.toString(StandardCharsets.UTF_8).trim())
                .startsWith(file + ": field settings: " + told + ", not '")
                .doesNotContain("\n");
    }

    /** What fails on the planner's thread is logged, and the sockets go on. */
    @Test
    void aFailureInTheModuleIsLoggedAndEndsNothing() throws Exception {
        AgreedChangesSource failing =
                new AgreedChangesSource() {
                    @Override
                    public void begin(AgreedChangesReceiver receiver) {
                        receiver.agreed(
                                1,
                                Map.of(),
                                SettingOverrides.NONE,
                                () -> {
                                    throw new IllegalStateException("put in by a test");
                                });
                    }

                    @Override
                    public void end() {}
                };
        String file = configuration("127.0.0.1:0", 1024, TERMS, entry("s-1", "Ready", 0));
        ControllerServer serve = new ControllerServer(ControllerConfiguration.read(file), failing);
        open.add(serve);
        serve.start();
        Peer proxy = proxy(serve, 3);
        awaitLog("failure in the module");
        proxy.assertAnswered();
    }
}
