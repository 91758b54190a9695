package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Invalid messages are rejected with a reason and a detail, are counted, and affect neither the
 * stored state nor other subscribers.
 */
class InvalidMessageTest {
    private static final Limits LIMITS = TestLimits.small(40, 5, 20);
    private static final Item A = ConfigurationStoreTest.item("a", "s1", "", "1");
    private static final Item B = ConfigurationStoreTest.item("b", "s1", "", "1");
    private static final Scope S1 = Scope.of(List.of("s1"), List.of());
    private static final long OTHER_CONNECTION = 2;

    private PublisherHarness server;
    private SubscriberHarness client;

    @BeforeEach
    void connectPublisherAndSubscribers() throws RejectionException {
        server = new PublisherHarness(LIMITS);
        server.put(0, A);
        server.subscribe(OTHER_CONNECTION, "other", S1, Revision.NONE, 0);
        server.acknowledge(OTHER_CONNECTION, "other", 1, 1);
        client = new SubscriberHarness(S1, 2, LIMITS);
        client.connectAfter(0);
        client.receiveState(1, A);
    }

    @Test
    void emptyScopeIsRejected() {
        assertPublisherRejects(
                new DistributionMessage.Subscribe(
                        "g", 1, Scope.of(List.of(), List.of()), Revision.NONE, 0),
                RejectionReason.EMPTY_SCOPE);
    }

    @Test
    void scopeThatMatchesNothingIsAcceptedWithANotice() throws RejectionException {
        List<DistributionMessage> answer =
                server.subscribe(1, "g", Scope.of(List.of("new"), List.of()), Revision.NONE, 0);
        assertThat(PublisherHarness.of(DistributionMessage.Notice.class, answer))
                .singleElement()
                .isEqualTo(
                        new DistributionMessage.Notice(
                                1, RejectionReason.MATCHES_NOTHING, "services 'new'"));
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, answer))
                .singleElement()
                .matches(part -> part.items().isEmpty());
        server.put(1, ConfigurationStoreTest.item("n", "new", "", "1"));
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, server.take(1)))
                .hasSize(1);
    }

    @Test
    void scopeNotServedByThePublisherIsRejected() throws RejectionException {
        server = new PublisherHarness(LIMITS, Scope.of(List.of(), List.of("z1")));
        server.subscribe(1, "g", Scope.of(List.of(), List.of("z2")), Revision.NONE, 0);
        assertThat(server.closed).containsEntry(1L, RejectionReason.UNKNOWN_SCOPE);
        server.subscribe(3, "h", Scope.all(), Revision.NONE, 0);
        assertThat(server.closed).containsEntry(3L, RejectionReason.UNKNOWN_SCOPE);
    }

    @Test
    void oversizedNamesAndScopesAreRejected() {
        assertPublisherRejects(subscribe("", 1, S1, Revision.NONE), RejectionReason.MALFORMED);
        assertPublisherRejects(
                subscribe("x".repeat(41), 1, S1, Revision.NONE), RejectionReason.TOO_LARGE);
        assertPublisherRejects(
                subscribe("g", 1, Scope.of(List.of(""), List.of()), Revision.NONE),
                RejectionReason.MALFORMED);
        List<String> many = new ArrayList<>();
        for (int index = 0; index < 65; index++) {
            many.add("s" + index);
        }
        assertPublisherRejects(
                subscribe("g", 1, Scope.of(many, List.of()), Revision.NONE),
                RejectionReason.TOO_LARGE);
        assertPublisherRejects(subscribe("g", 0, S1, Revision.NONE), RejectionReason.MALFORMED);
        assertPublisherRejects(
                subscribe("g", 1, S1, new Revision(0, 4)), RejectionReason.MALFORMED);
    }

    @Test
    void repeatedAndUnexpectedMessagesAreRejectedByThePublisher() {
        DistributionMessage.Subscribe subscribe = subscribe("g", 1, S1, Revision.NONE);
        assertPublisherRejects(subscribe, RejectionReason.OUT_OF_ORDER, subscribe);
        assertPublisherRejects(
                subscribe("h", 2, S1, Revision.NONE), RejectionReason.MALFORMED, subscribe);
        assertPublisherRejects(acknowledge(1, 0), RejectionReason.OUT_OF_ORDER);
        assertPublisherRejects(acknowledge(2, 1), RejectionReason.MALFORMED, subscribe);
        assertPublisherRejects(acknowledge(1, 9), RejectionReason.FUTURE_REVISION, subscribe);
        assertPublisherRejects(
                acknowledge(1, 0), RejectionReason.OUT_OF_ORDER, subscribe, acknowledge(1, 1));
        assertPublisherRejects(
                new DistributionMessage.Heartbeat(1, Revision.NONE, 0, 0, 0),
                RejectionReason.MALFORMED);
        assertPublisherRejects(
                new DistributionMessage.Acknowledge(
                        1, new Revision(9, 1), 0, Summary.ofOne("g", 1), 0),
                RejectionReason.OTHER_CLUSTER,
                subscribe);
        assertPublisherRejects(
                new DistributionMessage.Acknowledge(
                        1, Revision.NONE, 0, new Summary(0, -1, 0, 0, 0), 0),
                RejectionReason.MALFORMED,
                subscribe);
    }

    @Test
    void undecodableMessageIsCountedAndClosesOnlyItsConnection() {
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        server.publisher.undecodable(1, RejectionReason.MALFORMED, "frame: 12 bytes of 400", 0);
        assertThat(server.rejected(1)).isEqualTo(RejectionReason.MALFORMED);
        assertOtherSubscriberUnaffected();
    }

    @Test
    void invalidDifferenceIsRejectedAndStateIsKept() {
        Update second = Update.put(2, B);
        long bothDigest = A.digest() + B.digest();
        assertSubscriberRejects(difference(2, 3, bothDigest, second), RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejects(difference(1, 1, bothDigest, second), RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejects(
                difference(1, 2, bothDigest, Update.put(3, B)), RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejects(
                difference(1, 2, bothDigest, second, second), RejectionReason.MALFORMED);
        assertSubscriberRejects(
                difference(1, 2, bothDigest + 1, second), RejectionReason.DIGEST_MISMATCH);
        assertSubscriberRejects(
                difference(
                        1,
                        2,
                        bothDigest,
                        Update.put(2, ConfigurationStoreTest.item("b", "s2", "", "1"))),
                RejectionReason.OUT_OF_SCOPE);
        assertSubscriberRejects(
                difference(
                        1,
                        2,
                        bothDigest,
                        Update.put(
                                2, ConfigurationStoreTest.item("b", "s1", "", "x".repeat(2_000)))),
                RejectionReason.TOO_LARGE);
        Update[] many = new Update[21];
        for (int index = 0; index < many.length; index++) {
            many[index] = Update.put(2, ConfigurationStoreTest.item("k" + index, "s1", "", "1"));
        }
        assertSubscriberRejects(difference(1, 2, bothDigest, many), RejectionReason.TOO_LARGE);
        assertSubscriberRejects(
                new DistributionMessage.Difference(
                        2,
                        AgreedHistory.revision(1),
                        AgreedHistory.revision(2),
                        bothDigest,
                        List.of(second)),
                RejectionReason.MALFORMED);
    }

    @Test
    void repeatedDifferenceIsRejected() {
        DistributionMessage.Difference difference =
                difference(1, 2, A.digest() + B.digest(), Update.put(2, B));
        client.receive(difference);
        assertThat(client.items).containsOnlyKeys("a", "b");
        client.receive(difference);
        assertThat(client.disconnects).containsExactly(RejectionReason.OUT_OF_ORDER);
        assertThat(client.subscriber.revision()).isEqualTo(AgreedHistory.revision(2));
    }

    @Test
    void invalidSnapshotIsRejectedAndStateIsKept() {
        long bothDigest = A.digest() + B.digest();
        assertSubscriberRejects(part(0, 1, bothDigest, A), RejectionReason.DIGEST_MISMATCH);
        assertSubscriberRejects(part(1, 2, bothDigest, B), RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejects(part(0, 0, bothDigest, B), RejectionReason.MALFORMED);
        assertSubscriberRejects(part(0, 1_025, bothDigest, B), RejectionReason.TOO_LARGE);
        assertSubscriberRejects(part(0, 1, bothDigest, A, A), RejectionReason.MALFORMED);
        assertSubscriberRejects(
                part(0, 1, bothDigest, A, B, A, B, A, B), RejectionReason.TOO_LARGE);
        assertSubscriberRejects(
                part(0, 1, bothDigest, ConfigurationStoreTest.item("b", "s2", "", "1")),
                RejectionReason.OUT_OF_SCOPE);
        assertSubscriberRejectsAfter(
                part(0, 3, bothDigest, A), part(2, 3, bothDigest, B), RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejectsAfter(
                part(0, 3, bothDigest, A),
                client.heartbeat(2, bothDigest),
                RejectionReason.OUT_OF_ORDER);
        assertSubscriberRejectsAfter(
                part(0, 3, bothDigest, A),
                difference(1, 2, bothDigest, Update.put(2, B)),
                RejectionReason.OUT_OF_ORDER);
    }

    @Test
    void olderSnapshotIsRejected() {
        client.receive(
                new DistributionMessage.SnapshotPart(
                        1, AgreedHistory.revision(0), 0, 1, 0, List.of()));
        assertThat(client.disconnects).containsExactly(RejectionReason.FUTURE_REVISION);
        assertThat(client.subscriber.revision()).isEqualTo(AgreedHistory.revision(1));
        assertThat(client.items).containsOnlyKeys("a");
    }

    @Test
    void invalidHeartbeatIsRejected() {
        assertSubscriberRejects(client.heartbeat(0, A.digest()), RejectionReason.FUTURE_REVISION);
        assertSubscriberRejects(client.heartbeat(1, 5), RejectionReason.DIGEST_MISMATCH);
        assertSubscriberRejects(
                new DistributionMessage.Heartbeat(1, new Revision(3, 1), A.digest(), 0, 0),
                RejectionReason.OTHER_CLUSTER);
        assertSubscriberRejects(
                new DistributionMessage.Heartbeat(1, AgreedHistory.revision(1), A.digest(), -1, 0),
                RejectionReason.MALFORMED);
        assertSubscriberRejects(
                new DistributionMessage.Heartbeat(
                        1, AgreedHistory.revision(1), A.digest(), 0, 1_000_000),
                RejectionReason.MALFORMED);
        assertSubscriberRejects(subscribe("g", 1, S1, Revision.NONE), RejectionReason.MALFORMED);
    }

    @Test
    void digestMismatchLeadsToASnapshot() {
        client.receive(client.heartbeat(1, 5));
        client.connectAfter(client.now());
        assertThat(client.last(DistributionMessage.Subscribe.class).held())
                .isEqualTo(Revision.NONE);
    }

    /**
     * Random sequences of valid and invalid messages on other connections must not interrupt an
     * established subscriber, and each closed connection must be counted.
     */
    @Property(tries = 300)
    void messageSequencesOfOneSubscriberDoNotAffectAnother(@ForAll long seed)
            throws RejectionException {
        connectPublisherAndSubscribers();
        java.util.Random random = new java.util.Random(seed);
        for (int step = 0; step < 30; step++) {
            long connection = 10 + random.nextInt(3);
            server.publisher.connected(connection, step);
            server.publisher.received(connection, anyMessage(random), step);
            server.acknowledge(OTHER_CONNECTION, "other", 1, step);
            server.publisher.tick(step);
        }
        assertOtherSubscriberUnaffected();
        server.closed
                .keySet()
                .forEach(connection -> assertThat(connection).isNotEqualTo(OTHER_CONNECTION));
        long closed =
                server.publisher.rejectionCounts().entrySet().stream()
                        .filter(each -> each.getKey() != RejectionReason.MATCHES_NOTHING)
                        .mapToLong(Map.Entry::getValue)
                        .sum();
        assertThat(closed).isGreaterThanOrEqualTo(server.closed.size());
    }

    private DistributionMessage anyMessage(java.util.Random random) {
        Revision revision =
                new Revision(
                        random.nextInt(5) == 0 ? 3 : AgreedHistory.CLUSTER, random.nextInt(4) - 1);
        int epoch = random.nextInt(4);
        return switch (random.nextInt(5)) {
            case 0 ->
                    new DistributionMessage.Subscribe(
                            "n" + random.nextInt(3), epoch, S1, revision, 0);
            case 1 ->
                    new DistributionMessage.Subscribe(
                            "n" + random.nextInt(3),
                            epoch,
                            Scope.of(List.of("s" + random.nextInt(3)), List.of()),
                            Revision.NONE,
                            0);
            case 2 -> new DistributionMessage.Difference(epoch, revision, revision, 0, List.of());
            case 3 -> new DistributionMessage.Rejected(epoch, RejectionReason.BUSY, "", -1);
            default ->
                    new DistributionMessage.Acknowledge(
                            epoch,
                            revision,
                            random.nextInt(9) - 1,
                            new Summary(random.nextInt(3), random.nextInt(9) - 1, 0, 0, 0),
                            0);
        };
    }

    private void assertOtherSubscriberUnaffected() {
        assertThat(server.closed).doesNotContainKey(OTHER_CONNECTION);
        server.take(OTHER_CONNECTION);
        try {
            server.put(5, B);
        } catch (RejectionException rejection) {
            throw new AssertionError(rejection);
        }
        assertThat(
                        PublisherHarness.of(
                                DistributionMessage.Difference.class,
                                server.take(OTHER_CONNECTION)))
                .hasSize(1);
    }

    private void assertPublisherRejects(
            DistributionMessage invalid, RejectionReason reason, DistributionMessage... before) {
        long connection = 100 + server.closed.size();
        server.publisher.connected(connection, 0);
        for (DistributionMessage message : before) {
            server.publisher.received(connection, message, 0);
        }
        long countBefore = server.publisher.rejectionCounts().getOrDefault(reason, 0L);
        server.take(connection);
        server.publisher.received(connection, invalid, 0);
        DistributionMessage.Rejected rejected =
                PublisherHarness.of(DistributionMessage.Rejected.class, server.take(connection))
                        .get(0);
        assertThat(rejected.reason()).isEqualTo(reason);
        assertThat(rejected.detail()).isNotEmpty();
        assertThat(server.closed).containsEntry(connection, reason);
        assertThat(server.publisher.rejectionCounts()).containsEntry(reason, countBefore + 1);
        assertThat(server.closed).doesNotContainKey(OTHER_CONNECTION);
    }

    private void assertSubscriberRejects(DistributionMessage invalid, RejectionReason reason) {
        Revision held = client.subscriber.revision();
        Map<String, Item> itemsBefore = new TreeMap<>(client.items);
        long countBefore = client.subscriber.rejectionCounts().getOrDefault(reason, 0L);
        client.disconnects.clear();
        client.receive(invalid);
        assertThat(client.disconnects).containsExactly(reason);
        assertThat(client.subscriber.rejectionCounts()).containsEntry(reason, countBefore + 1);
        assertThat(client.subscriber.revision()).isEqualTo(held);
        assertThat(client.items).isEqualTo(itemsBefore);
        client.connectAfter(client.now());
        client.receiveState(1, A);
    }

    private void assertSubscriberRejectsAfter(
            DistributionMessage preceding, DistributionMessage invalid, RejectionReason reason) {
        client.receive(preceding);
        assertSubscriberRejects(invalid, reason);
    }

    private static DistributionMessage.Subscribe subscribe(
            String name, long epoch, Scope scope, Revision held) {
        return new DistributionMessage.Subscribe(name, epoch, scope, held, 0);
    }

    private static DistributionMessage.Acknowledge acknowledge(long epoch, long number) {
        return new DistributionMessage.Acknowledge(
                epoch, AgreedHistory.revision(number), 0, Summary.ofOne("g", number), 0);
    }

    private static DistributionMessage.Difference difference(
            long from, long to, long digest, Update... updates) {
        return new DistributionMessage.Difference(
                1,
                AgreedHistory.revision(from),
                AgreedHistory.revision(to),
                digest,
                List.of(updates));
    }

    private static DistributionMessage.SnapshotPart part(
            int part, int parts, long digest, Item... items) {
        return new DistributionMessage.SnapshotPart(
                1, AgreedHistory.revision(2), part, parts, digest, List.of(items));
    }
}
