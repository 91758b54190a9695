package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Tests of the publisher alone: which subscribers a change is sent to, how subscribers are admitted
 * and removed, and how their reports are summed up.
 */
class PublisherTest {
    private static final Limits LIMITS = TestLimits.small(40, 5, 20);
    private static final Scope S1 = Scope.of(List.of("s1"), List.of());

    @Test
    void changeIsSentOnlyToMatchingScopes() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        for (int number = 1; number <= 150; number++) {
            server.subscribe(
                    number,
                    "g" + number,
                    Scope.of(List.of("s" + number), List.of()),
                    Revision.NONE,
                    0);
            server.acknowledge(number, "g" + number, 0, 0);
        }
        server.put(0, ConfigurationStoreTest.item("a", "s7", "z1", "1"));
        for (int number = 1; number <= 150; number++) {
            assertThat(server.take(number)).hasSize(number == 7 ? 1 : 0);
        }
        assertThat(server.publisher.summary().inForce(1)).isFalse();
        server.acknowledge(7, "g7", 1, 0);
        assertThat(server.publisher.summary().inForce(1))
                .as("revision 1 is in force at the only affected subscriber")
                .isTrue();
    }

    @Property(tries = 200)
    void indexFindsExactlyTheMatchingScopes(@ForAll long seed) {
        Random random = new Random(seed);
        SubscriptionIndex index = new SubscriptionIndex();
        List<Subscription> subscriptions = new ArrayList<>();
        for (int number = 0; number < 30; number++) {
            Subscription subscription = new Subscription(number, 0);
            subscription.subscribe(
                    new DistributionMessage.Subscribe(
                            "g" + number, 1, anyScope(random), Revision.NONE, 0),
                    0);
            index.add(subscription);
            subscriptions.add(subscription);
        }
        for (int removed = 0; removed < 10; removed++) {
            index.remove(subscriptions.remove(random.nextInt(subscriptions.size())));
        }
        for (String service : List.of("", "s0", "s1", "s9")) {
            for (String zone : List.of("", "z0", "z9")) {
                List<Long> found = new ArrayList<>();
                index.forEachMatching(service, zone, each -> found.add(each.connection()));
                assertThat(found)
                        .doesNotHaveDuplicates()
                        .containsExactlyInAnyOrderElementsOf(
                                subscriptions.stream()
                                        .filter(each -> each.scope().matches(service, zone))
                                        .map(Subscription::connection)
                                        .toList());
            }
        }
    }

    @Test
    void heartbeatsOfSimultaneousSubscribersAreStaggered() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        for (int number = 1; number <= 100; number++) {
            server.subscribe(number, "g" + number, S1, Revision.NONE, 0);
        }
        int maxPerTick = 0;
        for (long now = 1; now <= 1_000; now += 50) {
            server.publisher.tick(now);
            int sent = 0;
            for (int number = 1; number <= 100; number++) {
                sent += server.take(number).size();
                server.acknowledge(number, "g" + number, 0, now);
            }
            maxPerTick = Math.max(maxPerTick, sent);
        }
        assertThat(maxPerTick).isLessThan(50);
    }

    @Test
    void connectionThatNeverSubscribesIsClosedAsSilent() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.publisher.connected(1, 0);
        server.publisher.tick(1_499);
        assertThat(server.closed).isEmpty();
        server.publisher.tick(1_500);
        assertThat(server.closed).containsEntry(1L, RejectionReason.SILENT);
        assertThat(server.publisher.connections()).isZero();
    }

    @Test
    void reconnectReplacesTheEarlierConnection() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        server.take(1);
        server.subscribe(2, "g", S1, Revision.NONE, 0);
        assertThat(server.closed).containsEntry(1L, RejectionReason.REPLACED).doesNotContainKey(2L);
        assertThat(PublisherHarness.of(DistributionMessage.Rejected.class, server.take(1)))
                .singleElement()
                .matches(
                        rejected ->
                                rejected.retryAfterMillis() == LIMITS.timing().maxBackoffMillis());
        assertThat(server.publisher.summary().subscribers()).isEqualTo(1);
        assertThat(server.publisher.summary().unreachable()).isZero();
    }

    @Test
    void rejectedSubscribersGetSpreadRetryTimes() throws RejectionException {
        PublisherHarness server = new PublisherHarness(Limits.standard());
        TreeSet<Long> times = new TreeSet<>();
        int admitted = 0;
        for (int number = 1; number <= 1_300; number++) {
            List<DistributionMessage> answer =
                    server.subscribe(number, "g" + number, S1, AgreedHistory.revision(0), 0);
            List<DistributionMessage.Rejected> rejected =
                    PublisherHarness.of(DistributionMessage.Rejected.class, answer);
            admitted += rejected.isEmpty() ? 1 : 0;
            rejected.forEach(each -> times.add(each.retryAfterMillis()));
        }
        assertThat(admitted).isEqualTo(200);
        assertThat(times.first()).isGreaterThan(500);
        assertThat(times.last()).isBetween(5_000L, 7_000L);
        assertThat(times.size()).isGreaterThan(900);
    }

    @Test
    void concurrentSnapshotsAndConnectionsAreLimited() throws RejectionException {
        Limits.Admission standard = LIMITS.admission();
        Limits limits =
                TestLimits.with(
                        LIMITS,
                        new Limits.Admission(
                                4, 200, 2, standard.maxUnacknowledgedDifferences(), 1, 30_000));
        PublisherHarness server = new PublisherHarness(limits);
        Item[] items = new Item[12];
        for (int index = 0; index < items.length; index++) {
            items[index] = ConfigurationStoreTest.item("k" + index, "s1", "", "1");
        }
        server.put(0, items);
        server.subscribe(1, "a", S1, Revision.NONE, 0);
        server.subscribe(2, "b", S1, Revision.NONE, 0);
        server.subscribe(3, "c", S1, Revision.NONE, 0);
        assertThat(server.closed)
                .containsExactlyEntriesOf(java.util.Map.of(3L, RejectionReason.BUSY));
        server.acknowledge(1, "a", 0, 1, 0);
        server.acknowledge(1, "a", 0, 2, 0);
        server.subscribe(4, "c", S1, Revision.NONE, 0);
        assertThat(server.closed)
                .as("connections closed after one snapshot was completed")
                .doesNotContainKey(4L);
        server.publisher.connected(5, 0);
        server.publisher.connected(6, 0);
        assertThat(server.closed).containsEntry(6L, RejectionReason.BUSY);
        assertThat(server.publisher.connections()).isEqualTo(4);
    }

    @Test
    void subscriberThatChangesItsScopeWithoutReadingIsClosedAsSlow() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.put(0, ConfigurationStoreTest.item("a", "s1", "", "1"));
        server.subscribe(1, "g", S1, Revision.NONE, 0);
        int epoch = 2;
        while (server.closed.isEmpty() && epoch < 100) {
            server.publisher.received(
                    1, new DistributionMessage.Subscribe("g", epoch++, S1, Revision.NONE, 0), 0);
        }
        assertThat(server.closed).containsEntry(1L, RejectionReason.SLOW);
        assertThat(server.take(1).size()).isLessThan(20);
    }

    @Test
    void lostSubscriberCountsAsUnreachableUntilItsRetentionEnds() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.subscribe(1, "g1", S1, Revision.NONE, 0);
        server.acknowledge(1, "g1", 0, 0);
        server.subscribe(2, "g2", S1, Revision.NONE, 0);
        server.acknowledge(2, "g2", 0, 0);
        assertThat(server.publisher.summary().inForce(0)).isTrue();
        server.publisher.disconnected(2, 10);
        assertThat(server.publisher.summary().unreachable()).isEqualTo(1);
        assertThat(server.publisher.summary().inForce(0)).isFalse();
        server.subscribe(3, "g2", S1, Revision.NONE, 20);
        server.acknowledge(3, "g2", 0, 20);
        assertThat(server.publisher.summary().inForceEverywhere(0, Roster.of(List.of("g1", "g2"))))
                .isTrue();
        server.publisher.disconnected(3, 30);
        server.acknowledge(1, "g1", 0, 30_029);
        server.publisher.tick(30_029);
        assertThat(server.publisher.summary().unreachable()).isEqualTo(1);
        server.publisher.tick(30_030);
        assertThat(server.publisher.summary().unreachable()).isZero();
        assertThat(server.publisher.summary().inForce(0)).isTrue();
        assertThat(server.publisher.summary().inForceEverywhere(0, Roster.of(List.of("g1", "g2"))))
                .isFalse();
    }

    @Test
    void lostRelayMakesAllControllersBelowItUnreachable() throws RejectionException {
        PublisherHarness server = new PublisherHarness(LIMITS);
        server.subscribe(1, "r1", Scope.all(), Revision.NONE, 0);
        server.publisher.received(
                1,
                new DistributionMessage.Acknowledge(
                        1, AgreedHistory.revision(0), 0, new Summary(0, 90, 0, 2, 5), 0),
                0);
        assertThat(server.publisher.summary()).isEqualTo(new Summary(0, 90, 0, 2, 5));
        server.publisher.disconnected(1, 0);
        assertThat(server.publisher.summary()).isEqualTo(new Summary(0, 0, 0, 92, 0));
    }

    @Test
    void summaryWithADuplicateNameDoesNotMatchTheRoster() {
        Summary one = Summary.ofOne("a", 5);
        Roster roster = Roster.of(List.of("a", "b"));
        assertThat(one.plus(Summary.ofOne("b", 5)).inForceEverywhere(5, roster)).isTrue();
        assertThat(one.plus(one).inForceEverywhere(5, roster)).isFalse();
        assertThat(one.plus(Summary.ofOne("b", 4)).inForceEverywhere(5, roster)).isFalse();
    }

    @Test
    void reconnectBackoffDoublesWithJitterUpToItsMaximum() {
        Limits.Timing timing = Limits.standard().timing();
        Set<Long> first = new HashSet<>();
        for (int seed = 0; seed < 50; seed++) {
            ReconnectBackoff backoff = new ReconnectBackoff(timing, new SplittableRandom(seed));
            long maxMillis = timing.initialBackoffMillis();
            first.add(backoff.nextMillis());
            for (int attempt = 1; attempt < 40; attempt++) {
                maxMillis = Math.min(timing.maxBackoffMillis(), 2 * maxMillis);
                assertThat(backoff.nextMillis()).isBetween(maxMillis / 2, maxMillis);
            }
        }
        assertThat(first.size()).isGreaterThan(20);
    }

    private static Scope anyScope(Random random) {
        List<String> services = new ArrayList<>();
        List<String> zones = new ArrayList<>();
        for (int count = random.nextInt(3); count > 0; count--) {
            services.add("s" + random.nextInt(3));
        }
        for (int count = random.nextInt(3); count > 0; count--) {
            zones.add("z" + random.nextInt(3));
        }
        return random.nextInt(6) == 0 ? Scope.all() : Scope.of(services, zones);
    }
}
