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
 * Stories of members, relays and governors' clients on real loopback sockets, with links between
 * them that can be cut.
 */
class DistributionTest extends ClusterFixture {
    private static final int RELAYS = 2;

    private final DistributionReactor clients = new DistributionReactor();
    private final DistributionReactor[] reactors = new DistributionReactor[RELAYS];
    private final RelayProcess[] relays = new RelayProcess[RELAYS];

    /** The link to each relay, which outlives it. */
    private final FaultyLink[] relayWays = new FaultyLink[RELAYS];

    private final List<Governor> governors = new ArrayList<>();

    @BeforeEach
    void layRelayWays() throws IOException {
        for (int i = 0; i < RELAYS; i++) {
            relayWays[i] = new FaultyLink(100 + i);
        }
    }

    @AfterEach
    void closeAll() throws Exception {
        clients.close();
        for (int i = 0; i < RELAYS; i++) {
            kill(i);
            relayWays[i].close();
        }
    }

    /**
     * A governor without its module: it holds what it is told, and checks that it never goes back.
     */
    private final class Governor implements DistributionListener {
        final Map<String, Item> held = new ConcurrentHashMap<>();
        final DistributionClient client;
        volatile Revision revision = Revision.NONE;
        volatile int snapshots;
        volatile int differences;
        volatile int wentBack;

        Governor(String name, Scope scope, String... upstreams) {
            client =
                    new DistributionClient(
                            clients,
                            name,
                            List.of(upstreams).stream().map(Section::parseAddress).toList(),
                            scope,
                            Limits.standard(),
                            new SplittableRandom(name.hashCode()),
                            this);
            governors.add(this);
            client.start();
        }

        @Override
        public void snapshot(Revision at, List<Item> items, Runnable inForce) {
            held.clear();
            items.forEach(item -> held.put(item.key(), item));
            snapshots++;
            took(at, inForce);
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
            took(at, inForce);
        }

        private void took(Revision at, Runnable inForce) {
            wentBack += at.number() < revision.number() ? 1 : 0;
            revision = at;
            inForce.run();
        }

        long version() {
            return client.revision().number();
        }
    }

    private Governor governor(String name, Scope scope) {
        return new Governor(name, scope, relayWays[0].address(), relayWays[1].address());
    }

    private static Scope zone(String name) {
        return Scope.of(Set.of(), Set.of(name));
    }

    private void relay(int number, Limits limits) throws Exception {
        Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
        for (int i = 0; i < 3; i++) {
            upstreams.put(
                    "n" + (i + number) % 3,
                    Section.parseAddress(fronts[(i + number) % 3].address()));
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
        relayWays[number].connectTo(relays[number].port());
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
        JsonNode answer = client.change(change, true, soon());
        assertThat(answer.path("refused").asText()).isEmpty();
        return answer.path("answer").path("version").asLong();
    }

    private void untilAllHold(long version) throws Exception {
        until(() -> governors.stream().allMatch(governor -> governor.version() >= version));
        assertThat(governors).allMatch(governor -> governor.wentBack == 0);
    }

    /** What all members together say of those below them. */
    private Map<String, Integer> below() throws IOException {
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
    void aChangeReachesThoseItConcernsAndOnlyThose() throws Exception {
        startAll();
        Governor a = governor("g-a", zone("hall-a"));
        Governor b = governor("g-b", zone("hall-b"));
        Governor shop = governor("g-shop", Scope.of(Set.of("shop"), Set.of("hall-a")));
        Governor all = governor("g-all", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            agree(client, hold("s-1", "", "hall-a"));
            agree(client, hold("s-2", "search", "hall-a"));
            agree(client, hold("s-3", "shop", ""));
            agree(client, hold("a-4", "", ""));
            untilAllHold(agree(client, new Change(Change.Kind.TERM, "price.crossing", 0, 0.5, "")));
            assertThat(a.held)
                    .containsOnlyKeys(
                            "out/s-1", "out/s-2", "out/s-3", "out/a-4", "term/price.crossing");
            assertThat(b.held).containsOnlyKeys("out/s-3", "term/price.crossing");
            assertThat(shop.held)
                    .containsOnlyKeys("out/s-1", "out/s-3", "out/a-4", "term/price.crossing");
            assertThat(all.held).hasSize(5);
            int before = b.differences;
            agree(client, new Change(Change.Kind.BACK, "s-1", 0, 0, ""));
            untilAllHold(agree(client, new Change(Change.Kind.BACK, "a-4", 0, 0, "")));
            assertThat(a.held).containsOnlyKeys("out/s-2", "out/s-3", "term/price.crossing");
            assertThat(b.differences).as("told to whom it concerns alone").isEqualTo(before);
            until(() -> below().equals(Map.of("subscribers", 4, "behind", 0, "unreachable", 0)));
        }
    }

    @Test
    void aChangeThatMovesToAnotherZoneLeavesTheFirst() throws Exception {
        startAll();
        Governor a = governor("g-a", zone("hall-a"));
        Governor b = governor("g-b", zone("hall-b"));
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "hall-a")));
            assertThat(a.held).containsOnlyKeys("out/s-1");
            untilAllHold(agree(client, hold("s-1", "", "hall-b")));
            assertThat(a.held).isEmpty();
            assertThat(b.held).containsOnlyKeys("out/s-1");
        }
    }

    @Test
    void whereARelayIsLostItsGovernorsMoveToTheOtherAndNeverGoBack() throws Exception {
        startAll();
        for (int i = 0; i < 6; i++) {
            governor("g-" + i, zone("hall-" + i % 2));
        }
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "hall-0")));
            kill(0);
            untilAllHold(agree(client, hold("s-2", "", "hall-1")));
            assertThat(governors).allMatch(governor -> governor.client.upstream() == 1);
            relay(0, Limits.standard());
            kill(1);
            untilAllHold(agree(client, hold("s-3", "", "hall-0")));
            assertThat(governors).allMatch(governor -> governor.client.upstream() == 0);
            assertThat(governors.get(0).held).containsOnlyKeys("out/s-1", "out/s-3");
            until(() -> below().equals(Map.of("subscribers", 6, "behind", 0, "unreachable", 0)));
        }
    }

    /**
     * The relays are cut off from the leader before the change is agreed, and the leader is lost
     * before they are back.
     */
    @Test
    void aLeaderThatIsLostBetweenAgreementAndHandOnTakesNothingWithIt() throws Exception {
        startThree();
        int leader = leader();
        FaultyLink[] handOn = new FaultyLink[RELAYS];
        for (int i = 0; i < RELAYS; i++) {
            handOn[i] = new FaultyLink(200 + i);
            handOn[i].connectTo(members[leader].port());
            Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
            upstreams.put("leader", Section.parseAddress(handOn[i].address()));
            upstreams.put("other", Section.parseAddress(fronts[(leader + 1) % 3].address()));
            relay(i, Limits.standard(), upstreams);
        }
        governor("g-1", Scope.all());
        governor("g-2", zone("hall-a"));
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "")));
            for (FaultyLink link : handOn) {
                link.setPartitioned(true);
            }
            long version = agree(client, hold("s-2", "", "hall-a"));
            members[leader].close();
            members[leader] = null;
            untilAllHold(version);
            assertThat(governors).allMatch(governor -> governor.held.containsKey("out/s-2"));
        }
        for (FaultyLink link : handOn) {
            link.close();
        }
    }

    /** It still answers, but can't know what the others agree on. */
    @Test
    void aMemberThatIsCutOffFromMostIsLeftAsStale() throws Exception {
        startThree();
        int minority = (leader() + 1) % 3;
        Map<String, InetSocketAddress> upstreams = new LinkedHashMap<>();
        upstreams.put("minority", Section.parseAddress(fronts[minority].address()));
        upstreams.put("other", Section.parseAddress(fronts[(minority + 1) % 3].address()));
        for (int i = 0; i < RELAYS; i++) {
            relay(i, Limits.standard(), upstreams);
        }
        governor("g-1", Scope.all());
        governor("g-2", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "")));
            cut(minority, true);
            until(() -> reaches.get(minority) == LocalController.Reach.WITHDRAW);
            untilAllHold(agree(client, hold("s-2", "", "")));
            until(
                    () ->
                            governors.stream()
                                    .allMatch(governor -> governor.client.ageMillis() < 3_000));
            try (ClusterClient there = client(minority)) {
                until(
                        () ->
                                there.ask(fronts[minority].address(), ClusterClient.call("status"))
                                                .path("distribution")
                                                .path("connections")
                                                .asInt()
                                        == 0);
            }
        }
    }

    @Test
    void aConnectionThatFallsSilentOneWayIsLeftInUnderTwoSeconds() throws Exception {
        startAll();
        Governor governor = governor("g-1", Scope.all());
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "")));
            int at = governor.client.upstream();
            relayWays[at].setReversePartitioned(true);
            long cutAt = System.nanoTime();
            // Whichever side notices first ends it: the one hears nothing, the other gets no
            // answers.
            until(
                    () ->
                            governor.client.rejections().getOrDefault(RejectionReason.SILENT, 0L)
                                            + relays[at].endings().getOrDefault("silent", 0L)
                                    > 0);
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - cutAt)).isLessThan(2_000);
            untilAllHold(agree(client, hold("s-2", "", "")));
            assertThat(governor.client.upstream()).isNotEqualTo(at);
        }
    }

    private static Limits limits(
            int historyUpdates, int subscriptionsEachSecond, int snapshotsAtOnce) {
        Limits usual = Limits.standard();
        Limits.Sizes sizes = usual.sizes();
        Limits.Admission admission = usual.admission();
        return new Limits(
                usual.timing(),
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
                        subscriptionsEachSecond,
                        snapshotsAtOnce,
                        admission.maxUnacknowledgedDifferences(),
                        admission.maxUnacknowledgedParts(),
                        admission.maxRetryMillis()));
    }

    @Test
    void whoWasAwayForLongerThanTheHistoryGetsASnapshot() throws Exception {
        startThree();
        relay(0, limits(4, 200, 32));
        Governor away = new Governor("g-away", Scope.all(), relayWays[0].address());
        Governor there = new Governor("g-there", Scope.all(), "127.0.0.1:" + relays[0].port());
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-0", "", "")));
            assertThat(away.snapshots).isEqualTo(1);
            relayWays[0].setPartitioned(true);
            until(() -> !away.client.subscribed());
            long version = 0;
            for (int i = 1; i <= 10; i++) {
                version = agree(client, hold("s-" + i, "", ""));
            }
            long last = version;
            until(() -> there.version() >= last);
            relayWays[0].setPartitioned(false);
            untilAllHold(last);
            assertThat(away.snapshots).isEqualTo(2);
            assertThat(there.snapshots).isEqualTo(1);
            assertThat(away.held).isEqualTo(there.held).hasSize(11);
        }
    }

    @Test
    void clientsThatAllComeBackAtOnceAreTakenAsAdmissionAllows() throws Exception {
        startThree();
        Limits narrow = limits(100, 20, 4);
        relay(0, narrow);
        int count = 60;
        for (int i = 0; i < count; i++) {
            new Governor("g-" + i, Scope.all(), relayWays[0].address());
        }
        try (ClusterClient client = client(0, 1, 2)) {
            untilAllHold(agree(client, hold("s-1", "", "")));
            kill(0);
            long version = agree(client, hold("s-2", "", ""));
            until(() -> governors.stream().noneMatch(governor -> governor.client.subscribed()));
            long before = busy();
            relay(0, narrow);
            untilAllHold(version);
            assertThat(busy()).as("some were told to come again").isGreaterThan(before);
            until(
                    () ->
                            below().equals(
                                            Map.of(
                                                    "subscribers",
                                                    count,
                                                    "behind",
                                                    0,
                                                    "unreachable",
                                                    0)));
        }
    }

    private long busy() {
        return governors.stream()
                .mapToLong(
                        governor ->
                                governor.client.rejections().getOrDefault(RejectionReason.BUSY, 0L))
                .sum();
    }
}
