package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The hard cases between one publisher and one subscriber, each caused on purpose. */
class HardCasesTest {
    private static final Limits LIMITS = TestLimits.small(40, 5, 20);
    private static final Scope S1 = Scope.of(List.of("s1"), List.of());
    private static final Scope S2 = Scope.of(List.of("s2"), List.of());

    private DirectLink link(Limits limits, Scope scope) throws RejectionException {
        return new DirectLink(
                new PublisherHarness(limits), new SubscriberHarness(scope, 2, limits));
    }

    @Test
    void aReaderThatResumesFromARevisionCompactedAwayGetsASnapshot() throws RejectionException {
        DirectLink link = link(TestLimits.small(3, 5, 20), S1);
        link.server.put(0, item("a", "s1", "1"), item("b", "s1", "1"));
        link.connect();
        link.exchange();
        link.disconnect();
        for (int number = 0; number < 4; number++) {
            link.server.put(0, item("a", "s1", "new" + number));
        }
        link.connect();
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, answer)).hasSize(1);
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, answer)).isEmpty();
        assertHoldsAll(link, S1);
    }

    @Test
    void aReaderThatResumesFromARevisionStillKnownGetsTheDifferenceOnly()
            throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"), item("b", "s1", "1"));
        link.connect();
        link.exchange();
        link.disconnect();
        link.server.put(0, item("a", "s1", "2"));
        link.server.put(0, item("x", "s2", "1"));
        link.connect();
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, answer)).isEmpty();
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, answer))
                .singleElement()
                .matches(difference -> difference.updates().size() == 1);
        assertHoldsAll(link, S1);
    }

    @Test
    void aReaderThatHoldsWhatAnotherClusterWroteIsRefusedUntilItAdoptsThatCluster()
            throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.client.subscriber.restore(new Revision(0xbad, 7), List.of(item("old", "s1", "1")));
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        assertThat(link.client.ended).containsExactly(RejectionReason.OTHER_CLUSTER);
        assertThat(link.client.subscriber.revision()).isEqualTo(new Revision(0xbad, 7));
        link.client.subscriber.adopt(AgreedHistory.CLUSTER, link.client.now());
        link.connect();
        link.exchange();
        assertHoldsAll(link, S1);
    }

    @Test
    void aSnapshotOfAnotherClusterIsNotTaken() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        link.client.receive(
                new DistributionMessage.SnapshotPart(
                        1, new Revision(0xbad, 9), 0, 1, 0, List.of()));
        assertThat(link.client.ended).containsExactly(RejectionReason.OTHER_CLUSTER);
        assertHoldsAll(link, S1);
    }

    @Test
    void aSnapshotThatChangesWhileItIsSentIsCompletedAsItWasAndThenBroughtUpToDate()
            throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        Item[] items = new Item[40];
        for (int index = 0; index < items.length; index++) {
            items[index] = item("k" + index, "s1", "1");
        }
        link.server.put(0, items);
        link.connect();
        List<DistributionMessage> first = link.down();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, first)).hasSize(4);
        link.server.put(1, item("k3", "s1", "changed"), item("k39", "s1", "changed"));
        link.server.put(1, item("k0", "s2", "moved away"));
        link.up();
        List<DistributionMessage> rest = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, rest))
                .hasSize(4)
                .allMatch(part -> part.revision().number() == 1);
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, rest))
                .singleElement()
                .matches(difference -> difference.updates().size() == 3);
        assertHoldsAll(link, S1);
    }

    @Test
    void aScopeThatChangesWhileItsDifferenceIsUnderWay() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"), item("x", "s2", "1"), item("all", "", "1"));
        link.connect();
        link.exchange();
        link.server.put(0, item("a", "s1", "2"));
        link.client.subscriber.scope(S2, link.client.now());
        link.down();
        assertThat(link.client.subscriber.revision().number())
                .as("the difference of the old scope")
                .isEqualTo(1);
        assertThat(link.client.items)
                .as("stays until the new snapshot")
                .containsOnlyKeys("a", "all");
        link.up();
        link.exchange();
        assertThat(link.client.ended).isEmpty();
        assertThat(link.client.items).containsOnlyKeys("x", "all");
        assertHoldsAll(link, S2);
    }

    @Test
    void aScopeThatIsWidenedAndNarrowedAgain() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"), item("x", "s2", "1"));
        link.connect();
        link.exchange();
        link.client.subscriber.scope(Scope.all(), link.client.now());
        link.up();
        link.exchange();
        assertHoldsAll(link, Scope.all());
        link.client.subscriber.scope(S2, link.client.now());
        link.up();
        link.exchange();
        assertThat(link.client.items).containsOnlyKeys("x");
        assertHoldsAll(link, S2);
    }

    @Test
    void aScopeThatChangesWhileAReaderIsAwayBeginsWithASnapshot() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"), item("x", "s2", "1"));
        link.connect();
        link.exchange();
        link.disconnect();
        link.client.subscriber.scope(S2, link.client.now());
        link.connect();
        link.exchange();
        assertHoldsAll(link, S2);
    }

    @Test
    void twoChangesAndAnUndoWhileAReaderIsAwayComeAsOneUpdate() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        link.disconnect();
        link.server.put(0, item("a", "s1", "2"));
        link.server.put(0, item("a", "s1", "3"));
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, answer))
                .singleElement()
                .matches(difference -> difference.updates().size() == 1)
                .matches(difference -> difference.to().number() == 4);
        assertHoldsAll(link, S1);
    }

    @Test
    void aReaderThatStopsReadingIsSentNoMoreThanItsWindowAndEndedInTwoSeconds()
            throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.put(0, item("a", "s1", "0"));
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        server.acknowledge(1, "g", 1, 0);
        server.take(1);
        long now = 0;
        List<DistributionMessage> waiting = new ArrayList<>();
        while (!server.closed.containsKey(1L) && now < 10_000) {
            now += 10;
            server.put(now, item("a", "s1", "v" + now));
            server.publisher.tick(now);
            waiting.addAll(server.take(1));
        }
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, waiting))
                .hasSize(LIMITS.admission().maxUnacknowledgedDifferences());
        assertThat(server.closed).containsEntry(1L, RejectionReason.SILENT);
        assertThat(now).isLessThan(2_000);
    }

    @Test
    void aReaderThatIsSlowGetsWhatItMissedAsOneDifference() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        for (int number = 0; number < 30; number++) {
            link.server.put(0, item("a", "s1", "v" + number));
        }
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, answer))
                .hasSize(LIMITS.admission().maxUnacknowledgedDifferences() + 1);
        assertHoldsAll(link, S1);
    }

    @Test
    void aReaderTooSlowForTheHistoryFallsBackToASnapshot() throws RejectionException {
        DirectLink link = link(TestLimits.small(10, 5, 20), S1);
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        for (int number = 0; number < 30; number++) {
            link.server.put(0, item("a", "s1", "v" + number));
        }
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, answer)).hasSize(1);
        assertHoldsAll(link, S1);
    }

    @Test
    void aReaderThatTakesTooLongOverASnapshotIsEnded() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        Item[] items = new Item[40];
        for (int index = 0; index < items.length; index++) {
            items[index] = item("k" + index, "s1", "1");
        }
        server.put(0, items);
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        for (long now = 0; now <= 32_000; now += 100) {
            server.acknowledge(1, "g", 0, 1, now);
            server.publisher.tick(now);
        }
        assertThat(server.closed).containsEntry(1L, RejectionReason.SLOW);
    }

    @Test
    void aReaderFromTheFutureIsRefusedAndKeepsWhatItHolds() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.client.subscriber.restore(AgreedHistory.revision(9), List.of(item("a", "s1", "9")));
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        int first = link.client.connects.get(0);
        link.exchange();
        assertThat(link.client.ended).containsExactly(RejectionReason.FUTURE_REVISION);
        assertThat(link.client.subscriber.revision().number()).isEqualTo(9);
        link.connect();
        assertThat(link.client.connects.get(1)).as("tries the other upstream").isNotEqualTo(first);
    }

    @Test
    void aServerThatHoldsNothingYetSaysSo() throws RejectionException {
        ConfigurationStore empty = new ConfigurationStore(LIMITS.sizes());
        List<DistributionMessage> sent = new ArrayList<>();
        Publisher publisher =
                new Publisher(
                        empty,
                        Scope.all(),
                        LIMITS,
                        new SplittableRandom(1),
                        new Publisher.Transport() {
                            @Override
                            public void send(long connection, DistributionMessage message) {
                                sent.add(message);
                            }

                            @Override
                            public void close(long connection, RejectionReason why, String place) {
                                assertThat(why).isEqualTo(RejectionReason.STALE_UPSTREAM);
                            }
                        });
        publisher.connected(1, 0);
        publisher.received(1, new DistributionMessage.Subscribe("g", 1, S1, Revision.NONE, 0), 0);
        assertThat(sent)
                .singleElement()
                .isInstanceOfSatisfying(
                        DistributionMessage.Rejected.class,
                        rejected -> assertThat(rejected.retryAfterMillis()).isPositive());
    }

    @Test
    void whatIsHeldCountsAsInForceOnlyOnceTheHostSaysSo() {
        IdleHost host = new IdleHost(new ArrayList<>());
        List<DistributionMessage> sent = host.sent();
        Subscriber subscriber =
                new Subscriber("g", S1, 1, LIMITS, new SplittableRandom(1), host, host);
        for (long now = 0; now <= LIMITS.timing().initialBackoffMillis(); now++) {
            subscriber.tick(now);
        }
        subscriber.connected(300);
        subscriber.received(SubscriberHarness.snapshot(4, item("a", "s1", "1")), 310);
        subscriber.received(
                new DistributionMessage.Heartbeat(
                        1, AgreedHistory.revision(5), item("a", "s1", "1").digest(), 0, 300),
                320);
        assertThat(lastInForce(sent)).isEqualTo(Revision.NONE);
        subscriber.acknowledged(AgreedHistory.revision(4), 330);
        assertThat(lastInForce(sent))
                .as("nothing changed up to the revision told last")
                .isEqualTo(AgreedHistory.revision(5));
    }

    @Test
    void aSilentUpstreamIsNoticedInLessThanTwoSeconds() throws RejectionException {
        DirectLink link = link(LIMITS, S1);
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        long start = link.client.now();
        long now = start;
        while (link.client.ended.isEmpty()) {
            now += 50;
            link.client.subscriber.tick(now);
        }
        assertThat(link.client.ended).containsExactly(RejectionReason.SILENT);
        assertThat(now - start).isLessThan(2_000);
        assertThat(link.client.subscriber.ageMillis(now)).isGreaterThanOrEqualTo(now - start);
        assertThat(link.client.items).as("goes on with what it has").containsOnlyKeys("a");
    }

    private static Revision lastInForce(List<DistributionMessage> sent) {
        return ((DistributionMessage.Acknowledge) sent.get(sent.size() - 1)).inForce();
    }

    private static void assertHoldsAll(DirectLink link, Scope scope) {
        assertThat(link.client.items.values())
                .containsExactlyElementsOf(link.server.store.snapshot(scope));
        assertThat(
                        link.server
                                .publisher
                                .summary()
                                .inForceEverywhere(
                                        link.server.store.current().number(),
                                        Roster.of(List.of("g"))))
                .isTrue();
    }

    private static Item item(String key, String service, String value) {
        return ConfigurationStoreTest.item(key, service, "", value);
    }

    /** A host that takes what it is handed and has not put it in force. */
    private record IdleHost(List<DistributionMessage> sent)
            implements Subscriber.Transport, Subscriber.Listener {
        @Override
        public void connect(int upstream) {}

        @Override
        public void disconnect(RejectionReason why, String place) {}

        @Override
        public void send(DistributionMessage message) {
            sent.add(message);
        }

        @Override
        public void snapshot(Revision revision, List<Item> items) {}

        @Override
        public void difference(Revision revision, List<Update> updates) {}
    }
}
