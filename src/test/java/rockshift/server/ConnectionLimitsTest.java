package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import rockshift.settings.PlannerSettings;

/** Connections that are idle, too many, or send more than the controller can process. */
class ConnectionLimitsTest extends ControllerFixture {
    /**
     * Unidentified peers that were silent, sent pings or sent parts of a message held a descriptor
     * without limit.
     */
    @Test
    void connectionThatDoesNotIdentifyInTimeIsClosed() throws Exception {
        ControllerServer controller = startController();
        Peer proxy = proxy(controller, 3);
        proxy.receive();
        Peer silent = new Peer(controller);
        Peer partial = new Peer(controller);
        partial.socket
                .getOutputStream()
                .write("*5\r\n$6\r\njoi".getBytes(StandardCharsets.US_ASCII));
        Peer pinging = new Peer(controller);
        assertThatThrownBy(
                        () -> {
                            while (true) {
                                pinging.assertAnswered();
                            }
                        })
                .isInstanceOfAny(IOException.class, AssertionError.class);
        silent.awaitClosed();
        partial.awaitClosed();
        proxy.assertAnswered();
        assertThat(loggedLines("reason=identify-timeout")).hasSize(3);
    }

    /** Connects repeatedly as a proxy until the controller answers. */
    private void connectUntilAnswered(ControllerServer controller) {
        await(
                "an answer to the proxy",
                () -> {
                    try (Peer peer = proxy(controller, 4)) {
                        peer.assertAnswered();
                        return true;
                    } catch (IOException | MalformedStreamException | AssertionError rejected) {
                        return false;
                    }
                });
    }

    /**
     * Idle connections used all descriptors, and no proxy could join. The oldest idle connections
     * are closed for new ones. A connection that was just accepted is kept long enough to have its
     * first message read.
     */
    @Test
    void idleUnidentifiedConnectionsMakeRoomForProxies() throws Exception {
        ControllerServer controller = startController(48 + 4, entry("s-1", "Ready", 0));
        Peer proxy = proxy(controller, 3);
        proxy.receive();
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            idle.add(new Peer(controller));
        }
        idle.get(3).awaitClosed();
        connectUntilAnswered(controller);
        idle.get(0).awaitClosed();
        proxy.assertAnswered();
        awaitLog("reason=connection-limit");
    }

    /**
     * In a burst of connections, the listener accepted more than there were descriptors before the
     * reactor had closed any, and terminated.
     */
    @Test
    void burstOfUnidentifiedConnectionsStaysWithinTheDescriptorLimit() throws Exception {
        ControllerServer controller = startController(48 + 4, entry("s-1", "Ready", 0));
        UnixOperatingSystemMXBean system =
                (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long before = system.getOpenFileDescriptorCount();
        long highest = 0;
        long connected = 0;
        for (int i = 1; i <= 500; i++) {
            try {
                new Peer(controller);
                connected++;
            } catch (SocketException refused) {
                // A connection beyond the limit can be reset before connect has returned.
                assertThat(refused).hasMessageContaining("reset");
            }
            highest = Math.max(highest, system.getOpenFileDescriptorCount() - before - connected);
        }
        assertThat(connected).as("connections in the burst").isGreaterThan(4 + 48);
        assertThat(highest)
                .as("the controller's ends of the connections")
                .isPositive()
                .isLessThan(4 + 48);
        connectUntilAnswered(controller);
    }

    /**
     * A machine that vanishes does not close its connections. Each time its peer reconnected, one
     * more connection stayed open.
     */
    @Test
    void reconnectClosesThePeersPreviousConnection() throws Exception {
        ControllerServer controller = startController();
        for (String message :
                List.of("joined sidecar 3 az east share 21.5 standing 1", "collector az east")) {
            Peer gone = new Peer(controller).send(message);
            gone.assertAnswered();
            Peer fresh = new Peer(controller).send(message);
            gone.awaitClosed();
            fresh.assertAnswered();
        }
        awaitLog("closed connection peer=collector-east ");
        assertThat(loggedLines("reason=replaced")).hasSize(2);
    }

    /**
     * While the planner is stalled, one peer floods the queue. Only that peer may lose its
     * connection.
     */
    @Test
    void fullQueueRefusesOnlyPeersOverTheirQuota() {
        EventLoop loop =
                new EventLoop(7, PlannerSettings.newBuilder().zones(List.of("east")).build());
        PlannerEvent report =
                new PlannerEvent.LoadReported(new LoadReport("east", 1, 1, 0, 1, 1, null));
        PlannerEvent join =
                new PlannerEvent.ProxyJoined(new ProxyJoin(1, "east", 1, false), message -> {});
        AtomicInteger flood = new AtomicInteger();
        while (loop.offer(flood, report)) {
            assertThat(flood.get()).isLessThanOrEqualTo(EventLoop.QUEUE_CAPACITY);
        }
        assertThat(loop.offer(new AtomicInteger(), join)).isTrue();
        assertThat(loop.offer(flood, report)).isFalse();
    }

    @Test
    void peerThatReadsNoAnswersIsClosed() throws Exception {
        ControllerServer controller = startController();
        Peer peer = new Peer(controller);
        byte[] ping = RespCodec.message(List.of("ping"));
        ByteBuffer many = ByteBuffer.allocate(ping.length * 5000);
        while (many.hasRemaining()) {
            many.put(ping);
        }
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 5000; i++) {
                                peer.socket.getOutputStream().write(many.array());
                            }
                        })
                .as("write of 350 MB of pings")
                .isInstanceOf(IOException.class);
        awaitLog("reason=send-buffer-full");
        new Peer(controller).assertAnswered();
    }

    /**
     * Each connection may hold a partial message of one mebibyte. Those of many connections
     * together would fill the heap.
     */
    @Test
    void totalSizeOfPartialMessagesIsLimited() throws Exception {
        ControllerServer controller = startController();
        byte[] message = RespCodec.message(List.of("heard", "host", "x".repeat(900_000)));
        for (int i = 0; i < 60; i++) {
            try {
                new Peer(controller).socket.getOutputStream().write(message, 0, 850_000);
            } catch (IOException ended) {
                continue;
            }
        }
        awaitLog("reason=overload");
        new Peer(controller).assertAnswered();
    }
}
