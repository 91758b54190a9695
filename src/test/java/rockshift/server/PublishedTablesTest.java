package rockshift.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rockshift.model.ClassSet;
import rockshift.model.Endpoint;
import rockshift.settings.ClassNames;

class PublishedTablesTest {
    private static final ClassSet CUT = ClassSet.of(0);
    private static final ClassSet LICENCE = ClassSet.of(1);
    private static final ClassSet ALL = ClassSet.all();

    private final PublishedTables tables =
            new PublishedTables(ClassNames.of("cut", "licence"), delay -> {});

    @BeforeEach
    void listReplicas() {
        tables.endpointsListed(
                List.of(ready(1, 9), ready(2, 9), ready(3, 9)),
                false,
                Map.of(1L, "one", 2L, "two", 3L, "three"));
    }

    private static Endpoint ready(long replica, long started) {
        return new Endpoint(replica, "east", "plain", Endpoint.Health.READY, started);
    }

    /** A channel that records each message as one line, with bars between its parts. */
    private static final class FakeProxyChannel extends ArrayList<String> implements ProxyChannel {
        private static final long serialVersionUID = 1L;

        @Override
        public void send(byte[] message) {
            String text = new String(message, StandardCharsets.US_ASCII);
            add(
                    text.replaceAll("\\$\\d+\r\n", "")
                            .replaceAll("^\\*\\d+\r\n", "")
                            .replaceAll("\\*\\d+\r\n", "| ")
                            .replace("\r\n", " ")
                            .trim());
        }
    }

    private FakeProxyChannel join(int proxy) {
        FakeProxyChannel channel = new FakeProxyChannel();
        tables.proxyJoined(proxy, channel);
        return channel;
    }

    @Test
    void bindingSendsWholeTablesInOneMessage() {
        FakeProxyChannel channel = join(4);
        tables.setTableEntry(0, 1, 0.5);
        tables.setTableEntry(0, 2, 0.0001);
        tables.setTableEntry(1, 1, 1);
        tables.setAdmissionLevel(1, LICENCE, 0.9, 1);
        tables.bindProxy(0, 4, CUT);
        tables.bindProxy(1, 4, LICENCE);
        tables.requestAcknowledgement(905);
        tables.flush();
        assertThat(channel)
                .containsExactly(
                        "update classes cut whole 1 lines one:0.5,two:0.00010 more 1 | update"
                                + " classes licence whole 1 lines one:1.0 level 0.9 retry 1 back"
                                + " one,two ticket 905");
    }

    @Test
    void laterTurnsSendChangesToBoundProxiesOnly() {
        FakeProxyChannel bound = join(4);
        tables.setTableEntry(0, 1, 0.5);
        tables.setTableEntry(0, 2, 0.5);
        tables.bindProxy(0, 4, CUT);
        tables.flush();
        bound.clear();
        FakeProxyChannel unbound = join(5);
        tables.setTableEntry(0, 2, 0);
        tables.setTableEntry(0, 1, 0.7);
        tables.requestAcknowledgement(7);
        tables.flush();
        tables.flush();
        assertThat(bound).containsExactly("update classes cut lines one:0.7,two:0.0 ticket 7");
        assertThat(unbound).isEmpty();
    }

    /** A level that is not for all classes of a table cannot go with the table's entries. */
    @Test
    void levelForSomeClassesOfATableHasItsOwnPart() {
        FakeProxyChannel channel = join(4);
        tables.setTableEntry(0, 1, 1);
        tables.bindProxy(0, 4, ALL);
        tables.setAdmissionLevel(0, LICENCE, 0.25, 1);
        tables.setAdmissionLevel(0, ALL, 0.5, 1);
        tables.flush();
        assertThat(channel)
                .containsExactly(
                        "update whole 1 lines one:1.0 level 0.5 retry 1 more 1 "
                                + "| update classes licence level 0.25 retry 1 back one");
    }

    /**
     * An empty intersection of classes was treated as all classes, so the level would have applied
     * to every class.
     */
    @Test
    void levelForClassesThatAreNotBoundIsNotSent() {
        FakeProxyChannel channel = join(4);
        tables.setTableEntry(0, 1, 1);
        tables.setAdmissionLevel(0, LICENCE, 0.25, 1);
        tables.bindProxy(0, 4, CUT);
        tables.flush();
        assertThat(channel).containsExactly("update classes cut whole 1 lines one:1.0 back one");
    }

    /** The protocol allows 64 parts per message, and each class adds one. */
    @Test
    void tablesBeyondThePartLimitTakeASecondMessage() {
        String[] names = IntStream.range(0, 70).mapToObj(k -> "class-" + k).toArray(String[]::new);
        PublishedTables many = new PublishedTables(ClassNames.of(names), delay -> {});
        many.endpointsListed(List.of(ready(1, 9)), false, Map.of(1L, "one"));
        FakeProxyChannel channel = new FakeProxyChannel();
        many.proxyJoined(4, channel);
        for (int k = 0; k < names.length; k++) {
            many.setTableEntry(k, 1, 1);
            many.setAdmissionLevel(k, ClassSet.of(k), 0.5, 1);
            many.bindProxy(k, 4, ClassSet.of(k));
        }
        assertThat(many.messageCount(4)).isEqualTo(2);
        many.requestAcknowledgement(905);
        many.flush();
        String[] parts = channel.get(0).split(" \\| ");
        assertThat(parts).hasSize(70);
        for (int k = 0; k < parts.length; k++) {
            String end = k == 63 ? "" : k == 69 ? " back one ticket 905" : " more 1";
            assertThat(parts[k])
                    .isEqualTo(
                            "update classes class-"
                                    + k
                                    + " whole 1 lines one:1.0 level 0.5 retry 1"
                                    + end);
        }
        many.setTableEntry(69, 1, 0.5);
        assertThat(many.messageCount(4)).isEqualTo(1);
    }

    /**
     * Ids are hashes of names. Two names with the same hash are one replica to the planner, which
     * was not logged.
     */
    @Test
    void replicaIdCollisionIsLogged() {
        PrintStream originalError = System.err;
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        System.setErr(new PrintStream(logged, true, StandardCharsets.UTF_8));
        try {
            tables.endpointsListed(List.of(ready(1, 9)), true, Map.of(1L, "one"));
            tables.endpointsListed(List.of(ready(1, 9)), true, Map.of(1L, "other"));
        } finally {
            System.setErr(originalError);
        }
        assertThat(logged.toString(StandardCharsets.UTF_8).lines())
                .singleElement()
                .asString()
                .contains("replica id collision, rename one of the replicas: id=1 names=one,other");
    }

    /**
     * Proxies keep excluding replicas that any controller excluded. A replica that a restarted
     * controller no longer knew as excluded stayed excluded.
     */
    @Test
    void replicaMaybeExcludedBeforeIsReadmittedWithItsEntry() {
        FakeProxyChannel channel = join(4);
        tables.setTableEntry(0, 1, 1);
        assertThat(tables.bindProxy(0, 4, CUT))
                .as("entries sent in addition to the table")
                .isEqualTo(1);
        tables.flush();
        assertThat(channel.get(0)).contains("back one");
        assertThat(tables.setTableEntry(0, 2, 1))
                .as("entries for the weight and the readmission")
                .isEqualTo(2);
        assertThat(tables.setTableEntry(0, 1, 2)).isEqualTo(1);
        tables.flush();
        assertThat(channel.get(1)).isEqualTo("update classes cut lines one:2.0,two:1.0 back two");
    }

    /**
     * A drain notice was sent to every proxy, including those already notified, and was not counted
     * in the channel's load. It must be sent only to the named proxy, once per channel, and the
     * return value counts its entries.
     */
    @Test
    void drainNoticeIsSentOncePerChannelAndCounted() {
        tables.setTableEntry(0, 1, 1);
        FakeProxyChannel notified = join(6);
        FakeProxyChannel other = join(7);
        assertThat(tables.notifyDraining(1, true, 6)).isEqualTo(1);
        assertThat(tables.notifyDraining(2, true, 6)).isEqualTo(1);
        assertThat(tables.notifyDraining(1, true, 6))
                .as("entries for a proxy already notified in this turn")
                .isZero();
        tables.flush();
        assertThat(tables.notifyDraining(1, true, 6))
                .as("entries for a proxy notified in an earlier turn")
                .isZero();
        tables.flush();
        assertThat(notified).containsExactly("update out one,two");
        assertThat(other).isEmpty();
        notified = join(6);
        assertThat(tables.notifyDraining(1, true, 6))
                .as("entries on a new channel: other controllers may have readmitted the replica")
                .isEqualTo(1);
        tables.flush();
        assertThat(notified).containsExactly("update out one");
    }

    /**
     * A draining replica is also excluded for proxies that are bound during the drain. Afterwards
     * it is readmitted for each proxy that excluded it, also on the proxy's next channel.
     */
    @Test
    void endOfDrainIsSentToProxiesThatWereNotified() {
        tables.setTableEntry(0, 1, 1);
        join(6);
        FakeProxyChannel other = join(5);
        tables.notifyDraining(1, true, 6);
        tables.flush();
        FakeProxyChannel later = join(7);
        tables.bindProxy(0, 7, ALL);
        tables.flush();
        assertThat(later).containsExactly("update whole 1 lines one:1.0 out one");
        FakeProxyChannel notified = join(6);
        assertThat(tables.notifyDraining(1, false, 6)).isEqualTo(1);
        assertThat(tables.notifyDraining(1, false, 7)).isEqualTo(1);
        assertThat(tables.notifyDraining(1, false, 5))
                .as("entries for a proxy that was not notified")
                .isZero();
        tables.flush();
        assertThat(notified)
                .as("messages on the proxy's next channel")
                .containsExactly("update back one");
        assertThat(later.get(1)).isEqualTo("update back one");
        assertThat(other).isEmpty();
    }

    /**
     * Eight of the 32 entries sent for each join readmitted replicas that had never been excluded.
     * When 800 proxies joined at once, this delayed their tables by a quarter.
     */
    @Test
    void onlyReplicasMaybeExcludedBeforeAreReadmitted() {
        tables.endpointsListed(List.of(ready(4, 0)), false, Map.of(4L, "old"));
        tables.endpointsListed(List.of(ready(5, 77)), true, Map.of(5L, "new"));
        tables.endpointsListed(List.of(ready(6, 77)), true, Map.of(6L, "again"));
        tables.endpointsListed(List.of(ready(6, 99)), true, Map.of(6L, "again"));
        tables.endpointsListed(
                List.of(new Endpoint(7, "east", "plain", Endpoint.Health.GONE, 0)),
                true,
                Map.of(7L, "back"));
        tables.endpointsListed(List.of(ready(7, 0)), true, Map.of(7L, "back"));
        for (long replica = 4; replica <= 7; replica++) {
            tables.setTableEntry(0, replica, 1);
        }
        FakeProxyChannel channel = join(4);
        assertThat(tables.bindProxy(0, 4, ALL)).isEqualTo(2);
        tables.flush();
        assertThat(channel)
                .containsExactly(
                        "update whole 1 lines old:1.0,new:1.0,again:1.0,back:1.0 back again,back");
        tables.agreedChangesReceived();
        join(4);
        assertThat(tables.bindProxy(0, 4, ALL))
                .as("readmissions when operators may have drained any replica")
                .isEqualTo(4);
    }

    /**
     * No state is kept of a replica that left for good. A replica that is listed again with its id
     * is treated like any other.
     */
    @Test
    void forgottenReplicaIsReadmittedUnderItsNewName() {
        FakeProxyChannel channel = join(4);
        tables.setTableEntry(0, 1, 1);
        tables.setTableEntry(0, 2, 1);
        tables.bindProxy(0, 4, CUT);
        tables.notifyDraining(2, true, 4);
        tables.flush();
        tables.setTableEntry(0, 2, 0);
        tables.flush();
        tables.forgetReplica(2);
        channel.clear();
        tables.endpointsListed(List.of(ready(2, 0)), true, Map.of(2L, "anew"));
        tables.setTableEntry(0, 2, 0.5);
        tables.flush();
        assertThat(channel).containsExactly("update classes cut lines anew:0.5 back anew");
    }
}
