package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rockshift.config.Section;
import rockshift.distribution.DistributionMessage;
import rockshift.distribution.DistributionMessage.Acknowledge;
import rockshift.distribution.DistributionMessage.Difference;
import rockshift.distribution.DistributionMessage.Heartbeat;
import rockshift.distribution.DistributionMessage.Rejected;
import rockshift.distribution.DistributionMessage.SnapshotPart;
import rockshift.distribution.DistributionMessage.Subscribe;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Summary;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionClient;
import rockshift.distribution.wire.DistributionCodec;
import rockshift.distribution.wire.DistributionListener;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.distribution.wire.RelayProcess;
import rockshift.wire.Frames;

/**
 * Messages and frames that are malformed, truncated, oversized, repeated or out of order must close
 * only their own connection, with a reason.
 */
class DistributionFramesTest extends ClusterFixture {
    private static final Revision FIRST = new Revision(7, 1);
    private static final Item ITEM =
            new Item("out/s-1", "", "hall-a", "{}".getBytes(StandardCharsets.UTF_8));

    private final DistributionReactor reactor = new DistributionReactor();
    private RelayProcess relay;
    private DistributionClient otherSubscriber;
    private final RecordingListener otherListener = new RecordingListener();

    /** A listener that counts what it receives. */
    private static final class RecordingListener implements DistributionListener {
        private volatile int deliveries;

        @Override
        public void snapshot(Revision revision, List<Item> items, Runnable inForce) {
            deliveries++;
            inForce.run();
        }

        @Override
        public void difference(Revision revision, List<Update> updates, Runnable inForce) {
            deliveries++;
            inForce.run();
        }
    }

    @BeforeEach
    void startOneMemberAndARelay() throws Exception {
        start(0, 1);
        await(() -> leader() == 0);
        Limits limits = Limits.standard();
        relay =
                new RelayProcess(
                        new DistributionSettings(
                                "r",
                                Map.of("n0", Section.parseAddress(clientLinks[0].address())),
                                Scope.all(),
                                new DistributionSettings.RelaySettings(
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                        100),
                                limits),
                        reactor,
                        new SplittableRandom(1));
        relay.start();
        await(() -> !relay.revision().isNone());
        otherSubscriber = client("good", "127.0.0.1:" + relay.port(), otherListener);
        await(() -> otherSubscriber.subscribed());
    }

    @AfterEach
    void stopRelay() throws Exception {
        relay.close();
        reactor.close();
    }

    private DistributionClient client(String name, String upstream, DistributionListener listener) {
        DistributionClient client =
                new DistributionClient(
                        reactor,
                        name,
                        List.of(Section.parseAddress(upstream)),
                        Scope.all(),
                        Limits.standard(),
                        new SplittableRandom(3),
                        listener);
        client.start();
        return client;
    }

    private long holdReplica(String replica) throws Exception {
        try (ClusterClient client = client(0)) {
            return client.change(ClusterFixture.hold(replica), true, deadlineMillis())
                    .path("answer")
                    .path("version")
                    .asLong();
        }
    }

    private void assertOthersUnaffected(String replica) throws Exception {
        long version = holdReplica(replica);
        await(() -> otherSubscriber.revision().number() >= version);
        assertThat(otherSubscriber.rejections()).as("rejections of the other subscriber").isEmpty();
        assertThat(otherSubscriber.subscribed()).isTrue();
    }

    /** A subscriber that sends arbitrary bytes and messages. */
    private static final class RawSubscriber implements AutoCloseable {
        private final Socket socket;
        private final DataInputStream in;

        RawSubscriber(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(TIMEOUT_MS);
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        }

        RawSubscriber send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            return this;
        }

        RawSubscriber send(DistributionMessage... messages) throws IOException {
            for (DistributionMessage message : messages) {
                send(frame(message));
            }
            return this;
        }

        /**
         * Returns the rejection received before the connection ended, or null if there was none.
         */
        Rejected rejection() {
            try {
                while (true) {
                    if (DistributionCodec.read(Frames.read(in).payload())
                            instanceof Rejected rejected) {
                        return rejected;
                    }
                }
            } catch (IOException ended) {
                return null;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static byte[] frame(DistributionMessage message) throws IOException {
        return Frames.frame(Frames.WATCH, DistributionCodec.write(message));
    }

    private static byte[] garbled(DistributionMessage message) throws IOException {
        byte[] frame = frame(message);
        frame[frame.length - 1] ^= 1;
        return frame;
    }

    private static Subscribe subscribe(String name, Revision held) {
        return new Subscribe(name, 1, Scope.all(), held, 0);
    }

    /**
     * Guards against a change that reaches other subscribers late, while one sends messages at full
     * speed, under a new name whenever its connection was closed.
     */
    @Test
    void changesReachOthersBesideAFloodOfMessages() throws Exception {
        AtomicBoolean ended = new AtomicBoolean();
        Thread flood = new Thread(() -> floodUntil(ended));
        flood.start();
        try {
            TimeUnit.SECONDS.sleep(1);
            for (int i = 0; i < 10; i++) {
                long version = holdReplica("s-" + i);
                long from = System.nanoTime();
                await(() -> otherSubscriber.revision().number() >= version);
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from))
                        .as("time from agreement to the other subscriber, ms")
                        .isLessThan(Limits.standard().timing().silenceTimeoutMillis());
            }
        } finally {
            ended.set(true);
            flood.join();
        }
        assertThat(otherSubscriber.subscribed()).isTrue();
    }

    private void floodUntil(AtomicBoolean ended) {
        for (int number = 0; !ended.get(); number++) {
            try (RawSubscriber raw = new RawSubscriber(relay.port())) {
                raw.send(subscribe("flood-" + number, Revision.NONE));
                Acknowledge message =
                        new Acknowledge(1, Revision.NONE, 0, Summary.ofOne("flood", 0), 0);
                byte[] frame = frame(message);
                ByteBuffer many = ByteBuffer.allocate(500 * frame.length);
                while (many.hasRemaining()) {
                    many.put(frame);
                }
                while (!ended.get()) {
                    raw.send(many.array());
                }
            } catch (IOException closed) {
                // The relay has closed this connection; the next one has another name.
            }
        }
    }

    /**
     * Returns invalid actions of a subscriber, by the reason and detail that it is rejected with.
     */
    private Map<String, Action> invalidSubscribers() {
        Revision initial = new Revision(otherSubscriber.revision().cluster(), 0);
        Subscribe valid = subscribe("raw", Revision.NONE);
        Map<String, Action> cases = new LinkedHashMap<>();
        cases.put("garbled", raw -> raw.send(garbled(valid)));
        cases.put("too-long", raw -> raw.send(new byte[] {0x7f, 0, 0, 0, 0, 0, 0, 0, 5}));
        cases.put("unexpected", raw -> raw.send(Frames.frame(Frames.HELLO, new byte[3])));
        cases.put(
                "malformed field message",
                raw -> raw.send(Frames.frame(Frames.WATCH, new byte[] {1, 2, 3})));
        cases.put(
                "malformed message: Heartbeat is not accepted by a publisher",
                raw -> raw.send(new Heartbeat(1, initial, 0, 0, 0)));
        cases.put(
                "out-of-order acknowledge before subscribe",
                raw -> raw.send(new Acknowledge(1, initial, 0, new Summary(0, 1, 0, 0, 0), 0)));
        cases.put("out-of-order scopeEpoch: 1 after 1", raw -> raw.send(valid, valid));
        cases.put(
                "empty-scope scope",
                raw -> raw.send(new Subscribe("raw", 1, Scope.of(Set.of(), Set.of()), initial, 0)));
        cases.put(
                "future-revision held",
                raw -> raw.send(subscribe("raw", new Revision(initial.cluster(), 99))));
        cases.put(
                "other-cluster held",
                raw -> raw.send(subscribe("raw", new Revision(initial.cluster() + 1, 1))));
        cases.put(
                "left",
                raw -> {
                    raw.socket.getOutputStream().write(frame(valid), 0, 7);
                    raw.close();
                });
        cases.put("silent", raw -> {});
        return cases;
    }

    private interface Action {
        void accept(RawSubscriber raw) throws Exception;
    }

    @Test
    void onlyTheInvalidSubscriberIsClosedWithItsReason() throws Exception {
        int number = 0;
        for (Map.Entry<String, Action> each : invalidSubscribers().entrySet()) {
            String code = each.getKey().split(" ", 2)[0];
            String detail = each.getKey().contains(" ") ? each.getKey().split(" ", 2)[1] : null;
            long before = relay.closedByReason().getOrDefault(code, 0L);
            try (RawSubscriber raw = new RawSubscriber(relay.port())) {
                each.getValue().accept(raw);
                if (detail != null) {
                    Rejected rejection = raw.rejection();
                    assertThat(rejection).as(each.getKey()).isNotNull();
                    assertThat(rejection.reason().code()).as(each.getKey()).isEqualTo(code);
                    assertThat(rejection.detail()).startsWith(detail);
                }
                await(() -> relay.closedByReason().getOrDefault(code, 0L) > before);
            }
            assertOthersUnaffected("s-" + number++);
        }
    }

    @Test
    void subscriberThatStopsReadingIsClosedAndOthersAreUnaffected() throws Exception {
        try (RawSubscriber raw = new RawSubscriber(relay.port())) {
            raw.send(subscribe("raw", Revision.NONE));
            await(() -> relay.connections() == 2);
            long startNanos = System.nanoTime();
            for (int i = 0; relay.closedByReason().getOrDefault("silent", 0L) == 0; i++) {
                long changeStartNanos = System.nanoTime();
                assertOthersUnaffected("s-" + i);
                assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - changeStartNanos))
                        .as("time to deliver a change to the other subscriber, ms")
                        .isLessThan(1_000);
            }
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos))
                    .isLessThan(2_500);
            await(() -> relay.connections() == 1);
        }
    }

    /** A publisher that sends the same answers to each subscription. */
    private static final class ScriptedPublisher implements AutoCloseable {
        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private volatile List<byte[]> answers;

        ScriptedPublisher(byte[]... answers) throws IOException {
            this.answers = List.of(answers);
            Thread thread = new Thread(this::serve, "scripted");
            thread.setDaemon(true);
            thread.start();
        }

        private void serve() {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    DataInputStream in =
                            new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                    Frames.read(in);
                    for (byte[] answer : answers) {
                        socket.getOutputStream().write(answer);
                    }
                    while (true) {
                        Frames.read(in);
                    }
                } catch (IOException ended) {
                    // The client disconnected; it connects again.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static SnapshotPart part(int part, int parts, long digest, Item item) {
        return new SnapshotPart(1, FIRST, part, parts, digest, List.of(item));
    }

    @Test
    void invalidAnswerOfAPublisherHasNoEffectAndTheClientReconnects() throws Exception {
        long digest = ITEM.digest();
        Item invalid = new Item(ITEM.key(), "", "hall-a", new byte[70_000]);
        Map<String, List<byte[]>> cases = new LinkedHashMap<>();
        cases.put("malformed", List.of(Frames.frame(Frames.WATCH, new byte[] {(byte) 0x9f, 3, 1})));
        cases.put(
                "out-of-order",
                List.of(frame(new Difference(1, FIRST, new Revision(7, 2), 0, List.of()))));
        cases.put("out-of-order part", List.of(frame(part(1, 2, digest, ITEM))));
        cases.put(
                "out-of-order again",
                List.of(frame(part(0, 2, digest, ITEM)), frame(part(0, 2, digest, ITEM))));
        cases.put("digest-mismatch", List.of(frame(part(0, 1, digest + 1, ITEM))));
        cases.put("malformed Subscribe", List.of(frame(subscribe("x", FIRST))));
        cases.put("malformed item", List.of(frame(part(0, 1, 0, invalid))));
        cases.put(
                "malformed epoch",
                List.of(frame(new SnapshotPart(2, FIRST, 0, 1, digest, List.of(ITEM)))));
        List<DistributionClient> clients = new ArrayList<>();
        for (Map.Entry<String, List<byte[]>> each : cases.entrySet()) {
            RejectionReason reason = RejectionReason.byCode(each.getKey().split(" ")[0]);
            RecordingListener listener = new RecordingListener();
            try (ScriptedPublisher publisher = new ScriptedPublisher()) {
                publisher.answers = each.getValue();
                DistributionClient client =
                        client(
                                "c-" + clients.size(),
                                "127.0.0.1:" + publisher.listener.getLocalPort(),
                                listener);
                clients.add(client);
                await(() -> client.rejections().getOrDefault(reason, 0L) > 0);
                assertThat(client.revision()).as(each.getKey()).isEqualTo(Revision.NONE);
                assertThat(listener.deliveries).isZero();
                publisher.answers = List.of(frame(part(0, 1, digest, ITEM)));
                await(() -> listener.deliveries == 1);
                assertThat(client.revision()).isEqualTo(FIRST);
                client.close();
            }
        }
        assertOthersUnaffected("s-1");
    }

    @Test
    void garbledOrOversizedFramesCloseTheUpstreamConnection() throws Exception {
        for (byte[] invalid :
                List.of(
                        garbled(part(0, 1, 0, ITEM)),
                        new byte[] {0x7f, 0, 0, 0, 0, 0, 0, 0, 5},
                        Frames.frame(Frames.REPLY, new byte[2]))) {
            RecordingListener listener = new RecordingListener();
            Map<String, Long> before = reactor.upstreamLog().totals();
            try (ScriptedPublisher publisher = new ScriptedPublisher(invalid)) {
                DistributionClient client =
                        client("c", "127.0.0.1:" + publisher.listener.getLocalPort(), listener);
                await(
                        () ->
                                List.of("garbled", "too-long", "unexpected").stream()
                                        .anyMatch(
                                                code ->
                                                        reactor.upstreamLog()
                                                                        .totals()
                                                                        .getOrDefault(code, 0L)
                                                                > before.getOrDefault(code, 0L)));
                publisher.answers = List.of(frame(part(0, 1, ITEM.digest(), ITEM)));
                await(() -> listener.deliveries == 1);
                client.close();
            }
        }
        assertThat(reactor.upstreamLog().totals())
                .containsKeys("garbled", "too-long", "unexpected");
        assertOthersUnaffected("s-1");
    }

    /**
     * Guards against subscribers and unidentified connections taking the connections reserved for
     * members and commands.
     */
    @Test
    void commandsConnectWhileSubscribersAreAtTheirLimit() throws Exception {
        members[0].close();
        subscribers = 2;
        start(0, 1);
        await(() -> leader() == 0);
        List<RawSubscriber> extraSubscribers = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            extraSubscribers.add(
                    new RawSubscriber(members[0].port())
                            .send(subscribe("crowd-" + i, Revision.NONE)));
        }
        assertThat(
                        extraSubscribers.stream()
                                .map(RawSubscriber::rejection)
                                .filter(rejection -> rejection != null)
                                .filter(rejection -> rejection.reason() == RejectionReason.BUSY)
                                .count())
                .isPositive();
        for (int i = 0; i < 10; i++) {
            RawSubscriber raw =
                    new RawSubscriber(members[0].port())
                            .send(subscribe("crowd-" + i, Revision.NONE));
            extraSubscribers.add(raw);
            assertThat(holdReplica("s-" + i)).isPositive();
        }
        try (ClusterClient client = client(0)) {
            assertThat(
                            client.send(clientLinks[0].address(), ClusterClient.newCall("status"))
                                    .path("distribution")
                                    .path("connections")
                                    .asInt())
                    .isBetween(0, 2);
        }
        for (RawSubscriber raw : extraSubscribers) {
            raw.close();
        }
    }
}
