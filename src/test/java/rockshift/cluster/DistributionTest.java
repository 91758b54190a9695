package rockshift.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rockshift.config.Section;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionClient;
import rockshift.distribution.wire.DistributionListener;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.distribution.wire.RelayProcess;
import rockshift.testkit.FaultyLink;

/**
 * Tests of members, relays and subscribers on loopback sockets, over links that can be partitioned.
 */
class DistributionTest extends ClusterFixture {
    private static final int RELAYS = 2;

    private final DistributionReactor clients = new DistributionReactor();
    private final DistributionReactor[] reactors = new DistributionReactor[RELAYS];
    private final RelayProcess[] relays = new RelayProcess[RELAYS];

    /** The link to each relay; it stays when the relay is stopped. */
    private final FaultyLink[] relayLinks = new FaultyLink[RELAYS];

    private final List<FakeSubscriber> fakeSubscribers = new ArrayList<>();

    @BeforeEach
    void createRelayLinks() throws IOException {
        for (int i = 0; i < RELAYS; i++) {
            relayLinks[i] = new FaultyLink(100 + i);
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        clients.close();
        for (int i = 0; i < RELAYS; i++) {
            kill(i);
            relayLinks[i].close();
        }
    }

    /**
     * A subscriber that keeps the items received, and counts the revisions that are older than the
     * one before.
     */
    private final class FakeSubscriber implements DistributionListener {
        private final Map<String, Item> held = new ConcurrentHashMap<>();
        private final DistributionClient client;
        private volatile Revision revision = Revision.NONE;
        private volatile int snapshots;
        private volatile int differences;
        private volatile int regressions;

        FakeSubscriber(String name, Scope scope, String... upstreams) {
            client =
                    new DistributionClient(
                            clients,
                            name,
                            List.of(upstreams).stream().map(Section::parseAddress).toList(),
                            scope,
                            Limits.standard(),
                            new SplittableRandom(name.hashCode()),
                            this);
            fakeSubscribers.add(this);
            client.start();
        }

        @Override
        public void snapshot(Revision at, List<Item> items, Runnable inForce) {
            held.clear();
            items.forEach(item -> held.put(item.key(), item));
            snapshots++;
            applied(at, inForce);
        }

        @Override
        public void difference(Revision at, List<Update> updates, Runnable inForce) {
            for (Update update : updates) {
                if (update.deleted()) {
                    held.remove(update.item().key());
                } else {
                    held.put(update.item().key(), update.item());
                }
            }
            differences++;
            applied(at, inForce);
        }

        private void applied(Revision at, Runnable inForce) {
            regressions += at.number() < revision.number() ? 1 : 0;
            revision = at;
            inForce.run();
        }

        long version() {
            return client.revision().number();
        }
    }

    private FakeSubscriber subscriber(String name, Scope scope) {
        return new FakeSubscriber(name, scope, relayLinks[0].address(), relayLinks[1].address());
    }

    private static Scope zone(String name) {
        return Scope.of(Set.of(), Set.of(name));
    }

    private void relay(int number, Limits limits) throws Exception {
        Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
        for (int i = 0; i < 3; i++) {
            upstreams.put(
                    "n" + (i + number) % 3,
                    Section.parseAddress(clientLinks[(i + number) % 3].address()));
        }
        relay(number, limits, upstreams);
    }

    private void relay(int number, Limits limits, Map<String, InetSocketAddress> upstreams)
            throws Exception {
        reactors[number] = new DistributionReactor();
        relays[number] =
                new RelayProcess(
                        new DistributionSettings(
                                "r" + number,
                                upstreams,
                                Scope.all(),
                                new DistributionSettings.RelaySettings(
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                        limits.admission().maxConnections()),
                                limits),
                        reactors[number],
                        new SplittableRandom(number));
        relays[number].start();
        relayLinks[number].connectTo(relays[number].port());
    }

    private void kill(int relay) throws Exception {
        if (relays[relay] != null) {
            relays[relay].close();
            reactors[relay].close();
            relays[relay] = null;
        }
    }

    private void startAll() throws Exception {
        startThree();
        for (int i = 0; i < RELAYS; i++) {
            relay(i, Limits.standard());
        }
    }

    private static Change hold(String replica, String service, String zone) {
        return new Change(Change.Kind.HOLD, replica, 0, 0, "", service, zone);
    }

    private long agree(ClusterClient client, Change change) throws Exception {
        JsonNode answer = client.change(change, true, deadlineMillis());
        assertThat(answer.path("refused").asText()).isEmpty();
        return answer.path("answer").path("version").asLong();
    }

    private void awaitVersionEverywhere(long version) throws Exception {
        await(
                () ->
                        fakeSubscribers.stream()
                                .allMatch(subscriber -> subscriber.version() >= version));
        assertThat(fakeSubscribers).allMatch(subscriber -> subscriber.regressions == 0);
    }

    /** Returns the sums of the distribution status of all members. */
    private Map<String, Integer> summary() throws IOException {
        Map<String, Integer> sum = new TreeMap<>();
        try (ClusterClient client = client(0, 1, 2)) {
            for (JsonNode status : client.statuses().values()) {
                for (String field : List.of("subscribers", "behind", "unreachable")) {
                    sum.merge(field, status.path("distribution").path(field).asInt(), Integer::sum);
                }
            }
        }
        return sum;
    }

    @Test
    void changeReachesOnlySubscribersWithItsScope() throws Exception {
        startAll();
        FakeSubscriber inZoneA = subscriber("g-a", zone("hall-a"));
        FakeSubscriber inZoneB = subscriber("g-b", zone("hall-b"));
        FakeSubscriber shop = subscriber("g-shop", Scope.of(Set.of("shop"), Set.of("hall-a")));
        FakeSubscriber all = subscriber("g-all", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            agree(client, hold("s-1", "", "hall-a"));
            agree(client, hold("s-2", "search", "hall-a"));
            agree(client, hold("s-3", "shop", ""));
            agree(client, hold("a-4", "", ""));
            awaitVersionEverywhere(
                    agree(client, new Change(Change.Kind.TERM, "price.crossing", 0, 0.5, "")));
            assertThat(inZoneA.held)
                    .containsOnlyKeys(
                            "out/s-1", "out/s-2", "out/s-3", "out/a-4", "term/price.crossing");
            assertThat(inZoneB.held).containsOnlyKeys("out/s-3", "term/price.crossing");
            assertThat(shop.held)
                    .containsOnlyKeys("out/s-1", "out/s-3", "out/a-4", "term/price.crossing");
            assertThat(all.held).hasSize(5);
            int before = inZoneB.differences;
            agree(client, new Change(Change.Kind.BACK, "s-1", 0, 0, ""));
            awaitVersionEverywhere(agree(client, new Change(Change.Kind.BACK, "a-4", 0, 0, "")));
            assertThat(inZoneA.held).containsOnlyKeys("out/s-2", "out/s-3", "term/price.crossing");
            assertThat(inZoneB.differences)
                    .as("differences received in the zone that is not concerned")
                    .isEqualTo(before);
            await(() -> summary().equals(Map.of("subscribers", 4, "behind", 0, "unreachable", 0)));
        }
    }

    @Test
    void changeMovedToAnotherZoneIsRemovedFromTheFirst() throws Exception {
        startAll();
        FakeSubscriber inZoneA = subscriber("g-a", zone("hall-a"));
        FakeSubscriber inZoneB = subscriber("g-b", zone("hall-b"));
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "hall-a")));
            assertThat(inZoneA.held).containsOnlyKeys("out/s-1");
            awaitVersionEverywhere(agree(client, hold("s-1", "", "hall-b")));
            assertThat(inZoneA.held).isEmpty();
            assertThat(inZoneB.held).containsOnlyKeys("out/s-1");
        }
    }

    /**
     * A relay is lost. Its subscribers must move to the other one, and none may see an older
     * version than it had.
     */
    @Test
    void subscribersOfALostRelayMoveToTheOtherWithoutGoingBack() throws Exception {
        startAll();
        for (int i = 0; i < 6; i++) {
            subscriber("g-" + i, zone("hall-" + i % 2));
        }
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "hall-0")));
            kill(0);
            awaitVersionEverywhere(agree(client, hold("s-2", "", "hall-1")));
            assertThat(fakeSubscribers).allMatch(subscriber -> subscriber.client.upstream() == 1);
            relay(0, Limits.standard());
            kill(1);
            awaitVersionEverywhere(agree(client, hold("s-3", "", "hall-0")));
            assertThat(fakeSubscribers).allMatch(subscriber -> subscriber.client.upstream() == 0);
            assertThat(fakeSubscribers.get(0).held).containsOnlyKeys("out/s-1", "out/s-3");
            await(() -> summary().equals(Map.of("subscribers", 6, "behind", 0, "unreachable", 0)));
        }
    }

    /**
     * The relays are partitioned from the leader, then a change is committed and the leader is
     * lost. The change must reach the relays through another member.
     */
    @Test
    void changeAgreedBeforeTheLeaderIsLostStillReachesSubscribers() throws Exception {
        startThree();
        int leader = leader();
        FaultyLink[] leaderLinks = new FaultyLink[RELAYS];
        for (int i = 0; i < RELAYS; i++) {
            leaderLinks[i] = new FaultyLink(200 + i);
            leaderLinks[i].connectTo(members[leader].port());
            Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
            upstreams.put("leader", Section.parseAddress(leaderLinks[i].address()));
            upstreams.put("other", Section.parseAddress(clientLinks[(leader + 1) % 3].address()));
            relay(i, Limits.standard(), upstreams);
        }
        subscriber("g-1", Scope.all());
        subscriber("g-2", zone("hall-a"));
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "")));
            for (FaultyLink link : leaderLinks) {
                link.setPartitioned(true);
            }
            long version = agree(client, hold("s-2", "", "hall-a"));
            members[leader].close();
            members[leader] = null;
            awaitVersionEverywhere(version);
            assertThat(fakeSubscribers)
                    .allMatch(subscriber -> subscriber.held.containsKey("out/s-2"));
        }
        for (FaultyLink link : leaderLinks) {
            link.close();
        }
    }

    /**
     * A member without a quorum still answers, but cannot know what the others commit. Relays must
     * move to another member.
     */
    @Test
    void relaysLeaveMemberWithoutQuorumAsStale() throws Exception {
        startThree();
        int minority = (leader() + 1) % 3;
        Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
        upstreams.put("minority", Section.parseAddress(clientLinks[minority].address()));
        upstreams.put("other", Section.parseAddress(clientLinks[(minority + 1) % 3].address()));
        for (int i = 0; i < RELAYS; i++) {
            relay(i, Limits.standard(), upstreams);
        }
        subscriber("g-1", Scope.all());
        subscriber("g-2", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "")));
            setPartitioned(minority, true);
            await(
                    () ->
                            permittedChanges.get(minority)
                                    == LocalController.PermittedChanges.WITHDRAW);
            awaitVersionEverywhere(agree(client, hold("s-2", "", "")));
            await(
                    () ->
                            fakeSubscribers.stream()
                                    .allMatch(subscriber -> subscriber.client.ageMillis() < 3_000));
            try (ClusterClient there = client(minority)) {
                await(
                        () ->
                                there.send(
                                                        clientLinks[minority].address(),
                                                        ClusterClient.newCall("status"))
                                                .path("distribution")
                                                .path("connections")
                                                .asInt()
                                        == 0);
            }
        }
    }

    /**
     * A connection loses one direction and is not closed: one side receives nothing, the other gets
     * no answers.
     */
    @Test
    void connectionSilentInOneDirectionIsClosedWithinTwoSeconds() throws Exception {
        startAll();
        FakeSubscriber subscriber = subscriber("g-1", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "")));
            int at = subscriber.client.upstream();
            relayLinks[at].setReversePartitioned(true);
            long cutAt = System.nanoTime();
            // Either side may notice first and close the connection.
            await(
                    () ->
                            subscriber.client.rejections().getOrDefault(RejectionReason.SILENT, 0L)
                                            + relays[at].closedByReason().getOrDefault("silent", 0L)
                                    > 0);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - cutAt)).isLessThan(2_000);
            awaitVersionEverywhere(agree(client, hold("s-2", "", "")));
            assertThat(subscriber.client.upstream()).isNotEqualTo(at);
        }
    }

    private static Limits limits(
            int historyUpdates, int subscriptionsPerSecond, int concurrentSnapshots) {
        Limits defaults = Limits.standard();
        Limits.Sizes sizes = defaults.sizes();
        Limits.Admission admission = defaults.admission();
        return new Limits(
                defaults.timing(),
                new Limits.Sizes(
                        sizes.maxItemBytes(),
                        sizes.maxStateItems(),
                        historyUpdates,
                        sizes.maxHistoryBytes(),
                        sizes.maxPartItems(),
                        sizes.maxPartBytes(),
                        sizes.maxDifferenceUpdates(),
                        sizes.maxDifferenceBytes(),
                        sizes.maxScopeNames(),
                        sizes.maxNameLength()),
                new Limits.Admission(
                        admission.maxConnections(),
                        subscriptionsPerSecond,
                        concurrentSnapshots,
                        admission.maxUnacknowledgedDifferences(),
                        admission.maxUnacknowledgedParts(),
                        admission.maxRetryMillis()));
    }

    @Test
    void subscriberAwayForLongerThanTheHistoryGetsASnapshot() throws Exception {
        startThree();
        relay(0, limits(4, 200, 32));
        FakeSubscriber away = new FakeSubscriber("g-away", Scope.all(), relayLinks[0].address());
        FakeSubscriber there =
                new FakeSubscriber("g-there", Scope.all(), "127.0.0.1:" + relays[0].port());
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-0", "", "")));
            assertThat(away.snapshots).isEqualTo(1);
            relayLinks[0].setPartitioned(true);
            await(() -> !away.client.subscribed());
            long version = 0;
            for (int i = 1; i <= 10; i++) {
                version = agree(client, hold("s-" + i, "", ""));
            }
            long last = version;
            await(() -> there.version() >= last);
            relayLinks[0].setPartitioned(false);
            awaitVersionEverywhere(last);
            assertThat(away.snapshots).isEqualTo(2);
            assertThat(there.snapshots).isEqualTo(1);
            assertThat(away.held).isEqualTo(there.held).hasSize(11);
        }
    }

    /**
     * A relay restarts, and all its subscribers reconnect at once. It must admit them at its
     * configured rate and reject the others as busy.
     */
    @Test
    void simultaneousReconnectsAreAdmittedAtTheConfiguredRate() throws Exception {
        startThree();
        Limits narrow = limits(100, 20, 4);
        relay(0, narrow);
        int count = 60;
        for (int i = 0; i < count; i++) {
            new FakeSubscriber("g-" + i, Scope.all(), relayLinks[0].address());
        }
        try (ClusterClient client = client(0, 1, 2)) {
            awaitVersionEverywhere(agree(client, hold("s-1", "", "")));
            kill(0);
            long version = agree(client, hold("s-2", "", ""));
            await(
                    () ->
                            fakeSubscribers.stream()
                                    .noneMatch(subscriber -> subscriber.client.subscribed()));
            long before = busyRejections();
            relay(0, narrow);
            awaitVersionEverywhere(version);
            assertThat(busyRejections()).as("subscriptions rejected as busy").isGreaterThan(before);
            await(
                    () ->
                            summary()
                                    .equals(
                                            Map.of(
                                                    "subscribers",
                                                    count,
                                                    "behind",
                                                    0,
                                                    "unreachable",
                                                    0)));
        }
    }

    private long busyRejections() {
        return fakeSubscribers.stream()
                .mapToLong(
                        subscriber ->
                                subscriber
                                        .client
                                        .rejections()
                                        .getOrDefault(RejectionReason.BUSY, 0L))
                .sum();
    }
}
