package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * How one subscriber recovers with one publisher after disconnections, compaction, scope changes,
 * slow reading and mismatched states. Each case is set up explicitly rather than by random faults.
 */
class SubscriptionRecoveryTest {
    private static final Limits LIMITS = TestLimits.small(40, 5, 20);
    private static final Scope S1 = Scope.of(List.of("s1"), List.of());
    private static final Scope S2 = Scope.of(List.of("s2"), List.of());

    private static DirectLink newLink(Limits limits, Scope scope) throws RejectionException {
        return new DirectLink(
                new PublisherHarness(limits), new SubscriberHarness(scope, 2, limits));
    }

    /** Returns a link whose subscriber has received these items at the first revision. */
    private static DirectLink connectedLink(Limits limits, Scope scope, Item... items)
            throws RejectionException {
        DirectLink link = newLink(limits, scope);
        link.server.put(0, items);
        link.connect();
        link.exchange();
        return link;
    }

    private static Item[] items(int count) {
        Item[] items = new Item[count];
        for (int index = 0; index < count; index++) {
            items[index] = item("k" + index, "s1", "1");
        }
        return items;
    }

    /**
     * The subscriber is disconnected until its revision has been compacted out of the history. A
     * difference would miss some changes, so it must be sent a snapshot.
     */
    @Test
    void resumingFromACompactedRevisionGetsASnapshot() throws RejectionException {
        DirectLink link =
                connectedLink(
                        TestLimits.small(3, 5, 20), S1, item("a", "s1", "1"), item("b", "s1", "1"));
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

    /**
     * The subscriber is disconnected during two changes, one of them outside its scope. It must be
     * sent only the one inside its scope, and no snapshot.
     */
    @Test
    void resumingFromARetainedRevisionGetsOnlyTheDifference() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"), item("b", "s1", "1"));
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

    /**
     * The subscriber holds a state of another cluster, as after the cluster was recreated.
     * Revisions of two clusters cannot be compared, so it must keep its state until an operator
     * switches it.
     */
    @Test
    void stateOfAnotherClusterIsRejectedUntilTheSubscriberAdoptsIt() throws RejectionException {
        DirectLink link = newLink(LIMITS, S1);
        link.client.subscriber.restore(new Revision(0xbad, 7), List.of(item("old", "s1", "1")));
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        link.exchange();
        assertThat(link.client.disconnects).containsExactly(RejectionReason.OTHER_CLUSTER);
        assertThat(link.client.subscriber.revision()).isEqualTo(new Revision(0xbad, 7));
        link.client.subscriber.adopt(AgreedHistory.CLUSTER, link.client.now());
        link.connect();
        link.exchange();
        assertHoldsAll(link, S1);
    }

    /**
     * An upstream sends a snapshot of another cluster. The subscriber must end the connection and
     * keep its state.
     */
    @Test
    void snapshotOfAnotherClusterIsRejected() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"));
        link.client.receive(
                new DistributionMessage.SnapshotPart(
                        1, new Revision(0xbad, 9), 0, 1, 0, List.of()));
        assertThat(link.client.disconnects).containsExactly(RejectionReason.OTHER_CLUSTER);
        assertHoldsAll(link, S1);
    }

    /**
     * Items change, and one leaves the scope, while the parts of a snapshot are in transit. The
     * snapshot must remain that of its revision, followed by the changes.
     */
    @Test
    void changesDuringASnapshotFollowItAsOneDifference() throws RejectionException {
        DirectLink link = newLink(LIMITS, S1);
        link.server.put(0, items(40));
        link.connect();
        List<DistributionMessage> first = link.deliverToClient();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, first)).hasSize(4);
        link.server.put(1, item("k3", "s1", "changed"), item("k39", "s1", "changed"));
        link.server.put(1, item("k0", "s2", "moved away"));
        link.deliverToServer();
        List<DistributionMessage> rest = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, rest))
                .hasSize(4)
                .allMatch(part -> part.revision().number() == 1);
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, rest))
                .singleElement()
                .matches(difference -> difference.updates().size() == 3);
        assertHoldsAll(link, S1);
    }

    /**
     * The subscriber changes its scope while a difference of the old scope is in transit. Applying
     * it would mix two scopes, so the old state must be kept until the new snapshot.
     */
    @Test
    void differenceOfAnEarlierScopeIsIgnoredAfterAScopeChange() throws RejectionException {
        DirectLink link =
                connectedLink(
                        LIMITS,
                        S1,
                        item("a", "s1", "1"),
                        item("x", "s2", "1"),
                        item("all", "", "1"));
        link.server.put(0, item("a", "s1", "2"));
        link.client.subscriber.scope(S2, link.client.now());
        link.deliverToClient();
        assertThat(link.client.subscriber.revision().number())
                .as("revision after a difference of the old scope")
                .isEqualTo(1);
        assertThat(link.client.items)
                .as("items before the snapshot of the new scope")
                .containsOnlyKeys("a", "all");
        link.deliverToServer();
        link.exchange();
        assertThat(link.client.disconnects).isEmpty();
        assertThat(link.client.items).containsOnlyKeys("x", "all");
        assertHoldsAll(link, S2);
    }

    @Test
    void scopeWidenedAndNarrowedAgainEndsWithTheLastScope() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"), item("x", "s2", "1"));
        link.client.subscriber.scope(Scope.all(), link.client.now());
        link.deliverToServer();
        link.exchange();
        assertHoldsAll(link, Scope.all());
        link.client.subscriber.scope(S2, link.client.now());
        link.deliverToServer();
        link.exchange();
        assertThat(link.client.items).containsOnlyKeys("x");
        assertHoldsAll(link, S2);
    }

    @Test
    void scopeChangedWhileDisconnectedBeginsWithASnapshot() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"), item("x", "s2", "1"));
        link.disconnect();
        link.client.subscriber.scope(S2, link.client.now());
        link.connect();
        link.exchange();
        assertHoldsAll(link, S2);
    }

    /**
     * An item changes twice and then back to its value while the subscriber is disconnected. It
     * must be sent as one update.
     */
    @Test
    void changesWhileDisconnectedAreCoalescedIntoOneUpdate() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"));
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

    /**
     * A subscriber stops reading while changes continue. What is sent to it must stay within the
     * window, and its connection must be closed.
     */
    @Test
    void subscriberThatStopsReadingIsSentItsWindowAndClosedWithinTwoSeconds()
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

    /**
     * Thirty changes are published faster than the subscriber acknowledges. Beyond its window they
     * must be coalesced.
     */
    @Test
    void slowSubscriberGetsMissedChangesAsOneDifference() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"));
        for (int number = 0; number < 30; number++) {
            link.server.put(0, item("a", "s1", "v" + number));
        }
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.Difference.class, answer))
                .hasSize(LIMITS.admission().maxUnacknowledgedDifferences() + 1);
        assertHoldsAll(link, S1);
    }

    /**
     * The subscriber acknowledges so slowly that its revision is compacted out of the history, so
     * it must be sent a snapshot.
     */
    @Test
    void subscriberTooSlowForTheHistoryGetsASnapshot() throws RejectionException {
        DirectLink link = connectedLink(TestLimits.small(10, 5, 20), S1, item("a", "s1", "1"));
        for (int number = 0; number < 30; number++) {
            link.server.put(0, item("a", "s1", "v" + number));
        }
        List<DistributionMessage> answer = link.exchange();
        assertThat(PublisherHarness.of(DistributionMessage.SnapshotPart.class, answer)).hasSize(1);
        assertHoldsAll(link, S1);
    }

    /**
     * The subscriber acknowledges, but takes longer over a snapshot than the timeout. It must be
     * closed, because it occupies one of the few snapshot slots.
     */
    @Test
    void subscriberTooSlowOverASnapshotIsClosed() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.put(0, items(40));
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        for (long now = 0; now <= 32_000; now += 100) {
            server.acknowledge(1, "g", 0, 1, now);
            server.publisher.tick(now);
        }
        assertThat(server.closed).containsEntry(1L, RejectionReason.SLOW);
    }

    /**
     * The subscriber is at a later revision than the publisher, as after moving to a member that
     * lags. It must keep its state and try another upstream.
     */
    @Test
    void subscriberAheadOfThePublisherIsRejectedAndKeepsItsState() throws RejectionException {
        DirectLink link = newLink(LIMITS, S1);
        link.client.subscriber.restore(AgreedHistory.revision(9), List.of(item("a", "s1", "9")));
        link.server.put(0, item("a", "s1", "1"));
        link.connect();
        int first = link.client.connectAttempts.get(0);
        link.exchange();
        assertThat(link.client.disconnects).containsExactly(RejectionReason.FUTURE_REVISION);
        assertThat(link.client.subscriber.revision().number()).isEqualTo(9);
        link.connect();
        assertThat(link.client.connectAttempts.get(1))
                .as("upstream of the second attempt")
                .isNotEqualTo(first);
    }

    /**
     * A relay that has just started has no state. Sending an empty one would withdraw every
     * decision, so it must reject the subscriber, which then tries another upstream.
     */
    @Test
    void emptyPublisherRejectsAsStaleUpstream() throws RejectionException {
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
                            public void close(
                                    long connection, RejectionReason reason, String detail) {
                                assertThat(reason).isEqualTo(RejectionReason.STALE_UPSTREAM);
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

    /**
     * The host has received a state and not applied it yet. The state must not count as in force.
     */
    @Test
    void stateIsInForceOnlyOnceTheHostAcknowledges() {
        NonAcknowledgingHost host = new NonAcknowledgingHost(new ArrayList<>());
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
                .as("revision of the last heartbeat, unchanged since the acknowledged one")
                .isEqualTo(AgreedHistory.revision(5));
    }

    /**
     * The upstream stops sending without closing the connection. The subscriber must detect it,
     * know the age of its state, and keep the state.
     */
    @Test
    void silentUpstreamIsLeftWithinTwoSeconds() throws RejectionException {
        DirectLink link = connectedLink(LIMITS, S1, item("a", "s1", "1"));
        long start = link.client.now();
        long now = start;
        while (link.client.disconnects.isEmpty()) {
            now += 50;
            link.client.subscriber.tick(now);
        }
        assertThat(link.client.disconnects).containsExactly(RejectionReason.SILENT);
        assertThat(now - start).isLessThan(2_000);
        assertThat(link.client.subscriber.ageMillis(now)).isGreaterThanOrEqualTo(now - start);
        assertThat(link.client.items)
                .as("items after the upstream is silent")
                .containsOnlyKeys("a");
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

    /** A host that records messages and acknowledges no delivery. */
    private record NonAcknowledgingHost(List<DistributionMessage> sent)
            implements Subscriber.Transport, Subscriber.Listener {
        @Override
        public void connect(int upstream) {}

        @Override
        public void disconnect(RejectionReason reason, String detail) {}

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
