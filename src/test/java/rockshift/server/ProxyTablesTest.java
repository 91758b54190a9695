package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rockshift.settings.SettingOverrides;

/**
 * Tables that a controller on real loopback sockets sends to proxies, and reports that it receives.
 */
class ProxyTablesTest extends ControllerFixture {
    @Test
    void joiningProxyReceivesWholeTablesAndAcknowledges() throws Exception {
        Peer proxy = proxy(startController(), 3);
        Map<String, String> first = proxy.receive();
        assertThat(first)
                .containsEntry("", "update")
                .containsEntry("classes", "cut")
                .containsEntry("whole", "1")
                .containsEntry("more", "1")
                .doesNotContainKey("ticket");
        assertThat(first.get("lines").split(","))
                .hasSize(2)
                .allMatch(line -> line.matches("s-[12]:0\\.5"));
        Map<String, String> last = proxy.receive();
        assertThat(last)
                .containsEntry("classes", "licence")
                .containsKey("ticket")
                .doesNotContainKeys("more", "back");
        proxy.send("applied sidecar 3 version " + last.get("ticket") + " lag_ms 310.4");
        proxy.assertAnswered();
    }

    @Test
    void messageSplitIntoSingleBytesIsAccepted() throws Exception {
        ControllerServer controller = startController();
        Peer proxy = new Peer(controller);
        proxy.socket.setTcpNoDelay(true);
        for (byte next :
                RespCodec.message(
                        List.of("joined sidecar 3 az east share 21.5 standing 1".split(" ")))) {
            proxy.socket.getOutputStream().write(next);
            new Peer(controller).assertAnswered();
        }
        assertThat(proxy.receive()).containsEntry("whole", "1");
    }

    /**
     * A proxy reconnects before the end of its old connection is detected. The late end of the old
     * connection must not remove the proxy.
     */
    @Test
    void closeOfReplacedConnectionDoesNotRemoveTheProxy() throws Exception {
        ControllerServer controller = startController();
        Peer old = proxy(controller, 3);
        old.receive("ticket", "");
        Peer fresh = proxy(controller, 3);
        fresh.receive("whole", "1");
        awaitLog("closed connection peer=proxy-3 ");
        discovery.enqueue(list(8, true, entry("s-1", "Ready", 0), entry("s-2", "Terminating", 0)));
        assertThat(fresh.receive("lines", "s-2:0.0")).doesNotContainKey("whole");
    }

    /**
     * The planner's clock and discovery's start times must use the same epoch: a replica that has
     * just started is cold.
     */
    @Test
    void newlyStartedReplicaGetsSlowStartWeight() throws Exception {
        Peer proxy =
                proxy(
                        startController(
                                1024,
                                entry("s-1", "Ready", 0),
                                entry("s-2", "Ready", System.currentTimeMillis())),
                        3);
        String[] lines = proxy.receive().get("lines").split(",");
        double cold = 0;
        for (String line : lines) {
            cold += line.startsWith("s-2:") ? Double.parseDouble(line.substring(4)) : 0;
        }
        assertThat(cold).isPositive().isLessThan(0.3);
    }

    @Test
    void replicaWithFailuresInLoadReportsIsEjected() throws Exception {
        ControllerServer controller =
                startController(
                        1024,
                        entry("s-1", "Ready", 0),
                        entry("s-2", "Ready", 0),
                        entry("s-3", "Ready", 0));
        proxy(controller, 3).receive();
        Peer collector = new Peer(controller).send("collector az east");
        for (int i = 1; i <= 3; i++) {
            collector.send(
                    "heard az east host s-"
                            + i
                            + " n 50 bad "
                            + (i == 3 ? 50 : 0)
                            + " avg 41.7 window 1000.0 report inflight:7,util:0.61 later x");
            collector.send("heard az east host s-unlisted n 5 bad 1 avg 41.7 window 1000.0");
            collector.send("usage sidecar 3 kind cut n 19 bad 0 window 1000.0");
            collector.send("usage sidecar 7 kind cut n 19 bad 0 window 1000.0");
        }
        awaitLog("ejected replica=s-3 ");
        collector.assertAnswered();
    }

    /**
     * Returns settings with a number of classes, every second of which stays in the proxy's zone.
     */
    private static String classes(int count) {
        String names =
                IntStream.range(0, count)
                        .mapToObj(k -> "{\"name\":\"class-" + k + "\"}")
                        .collect(Collectors.joining(","));
        String restrictedToOwnZone =
                IntStream.range(0, count)
                        .mapToObj(k -> Boolean.toString(k % 2 == 0))
                        .collect(Collectors.joining(","));
        return SETTINGS.replaceAll("\"classes\":\\[.*?]", "\"classes\":[" + names + "]")
                .replace(
                        "\"domain\":{",
                        "\"domain\":{\"class_own_zone\":[" + restrictedToOwnZone + "],");
    }

    private static Map<String, Double> weights(Map<String, String> part) {
        return Arrays.stream(part.get("lines").split(","))
                .map(line -> line.split(":"))
                .collect(Collectors.toMap(line -> line[0], line -> Double.valueOf(line[1])));
    }

    /**
     * With more than 32 classes, a proxy was sent a table for class-0+class-32 and so on, so one
     * class used the table of another. A message has at most 64 parts, and each class adds one.
     */
    @ParameterizedTest
    @ValueSource(ints = {31, 32, 33, 40, 64, 65, 70})
    void eachOfManyClassesGetsItsOwnTable(int count) throws Exception {
        String west = entry("s-2", "Ready", 0).replace("east", "west");
        ControllerServer controller =
                startWith(
                        configuration(
                                "127.0.0.1:0",
                                1024,
                                classes(count),
                                entry("s-1", "Ready", 0),
                                west));
        Peer proxy = proxy(controller, 3);
        List<List<Map<String, String>>> messages = proxy.receiveMessages();
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
        proxy.send("usage sidecar 3 kind class-" + (count - 1) + " n 1 bad 0 window 1000")
                .assertAnswered();
        assertThat(loggedLines("dropped")).isEmpty();
    }

    /**
     * Two controllers with different settings run in one process. No setting of one may reach the
     * peers of the other; the names of one are prefixes of the other's.
     */
    @Test
    void controllersInOneProcessShareNoSettings() throws Exception {
        ControllerServer one = startController();
        String settings =
                SETTINGS.replace("\"cut\"", "\"cut-all\"")
                        .replace("\"licence\"", "\"cut\"")
                        .replace("\"east\",\"west\"", "\"east\"");
        ControllerServer other =
                startWith(
                        configuration(
                                "127.0.0.1:0",
                                1024,
                                settings,
                                entry("s-1", "Ready", 0),
                                entry("s-11", "Ready", 0)));
        Peer proxyOfOther = proxy(other, 3);
        Peer proxyOfOne = proxy(one, 3);
        assertThat(proxyOfOne.receive())
                .containsEntry("classes", "cut")
                .extractingByKey("lines")
                .asString()
                .contains("s-2:")
                .doesNotContain("s-11:");
        assertThat(proxyOfOne.receive()).containsEntry("classes", "licence");
        assertThat(proxyOfOther.receive())
                .containsEntry("classes", "cut-all")
                .extractingByKey("lines")
                .asString()
                .contains("s-11:");
        assertThat(proxyOfOther.receive()).containsEntry("classes", "cut");
        new Peer(other).send("collector az west").awaitClosed();
        new Peer(one).send("collector az west").assertAnswered();
        proxyOfOther.send("usage sidecar 3 kind licence n 1 bad 0 window 1000").assertAnswered();
        awaitLog("dropped message peer=proxy-3 ");
    }

    /** The failure of an event on the event loop's thread is logged, and connections stay open. */
    @Test
    void plannerFailureIsLoggedAndConnectionsStay() throws Exception {
        AgreedChangesSource failing =
                new AgreedChangesSource() {
                    @Override
                    public void start(AgreedChangesReceiver receiver) {
                        receiver.applyAgreed(
                                1,
                                Map.of(),
                                SettingOverrides.NONE,
                                () -> {
                                    throw new IllegalStateException("injected by the test");
                                });
                    }

                    @Override
                    public void stop() {}
                };
        String file = configuration("127.0.0.1:0", 1024, SETTINGS, entry("s-1", "Ready", 0));
        ControllerServer controller =
                new ControllerServer(ControllerConfigurationReader.read(file), failing);
        resources.add(controller);
        controller.start();
        Peer proxy = proxy(controller, 3);
        awaitLog("planner step failed");
        proxy.assertAnswered();
    }
}
