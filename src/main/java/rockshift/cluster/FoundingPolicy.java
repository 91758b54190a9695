package rockshift.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rockshift.cluster.ClusterSettings.InitialCluster;
import rockshift.raft.Member;
import rockshift.wire.Hello;

/**
 * Decides whether a member with an empty folder founds a cluster, joins one, or waits. It does no
 * I/O and reads no clock; used by one thread.
 *
 * <p>An empty folder alone does not show that there is no cluster: the member's machine may have
 * been replaced. Members of a cluster connect to each address in its membership, so a member that
 * has been replaced hears of its cluster if any other member can reach it. Hence a founder first
 * listens for {@link #LISTEN_MS}, and never founds once it has heard of a cluster in which it is
 * not a member under its present id. It cannot know of a cluster whose other members are all down
 * or cut off; {@link InitialCluster#EXISTING} tells it that there is one.
 */
final class FoundingPolicy {
    /** The cluster id of a member that is not part of a cluster. */
    static final long NO_CLUSTER = 0;

    /**
     * How long a founder listens before it founds a cluster. Within this time every member that can
     * reach it has tried to connect, with {@link OutgoingPeer#MAX_PAUSE_MS} between two attempts.
     */
    static final long LISTEN_MS =
            2 * OutgoingPeer.MAX_PAUSE_MS + MemberConnections.CONNECT_TIMEOUT_MS;

    /** The longest step of the clock that counts: nothing was heard while the process stalled. */
    static final long MAX_STEP_MS = 100;

    private static final long HASH_FACTOR = 31;

    /** What the member does next. */
    sealed interface Decision {
        /** Nothing for now. */
        record Wait() implements Decision {}

        /** Becomes a member of the cluster whose membership contains it. */
        record Join(Hello by) implements Decision {}

        /** Begins a cluster with these members. */
        record Found(long cluster, List<Member> founders) implements Decision {}
    }

    private static final Decision WAIT = new Decision.Wait();

    private final String name;
    private final long memberId;
    private final Map<String, String> founders;
    private final boolean mayFound;

    /** The last hello of each member that is connected, by its name. */
    private final Map<String, Hello> hellos = new TreeMap<>();

    /** A cluster that exists and does not contain this member's id, or {@link #NO_CLUSTER}. */
    private long existingCluster;

    private long listenedMillis;
    private long lastNowMillis;

    /**
     * Creates a policy that begins to listen.
     *
     * @param founders the addresses of the founders by name, this member included; empty if this
     *     member is no founder
     * @param existingCluster a cluster that an earlier run heard of, or {@link #NO_CLUSTER}
     */
    FoundingPolicy(
            String name,
            long memberId,
            Map<String, String> founders,
            InitialCluster initialCluster,
            long existingCluster,
            long nowMillis) {
        this.name = name;
        this.memberId = memberId;
        this.founders = new TreeMap<>(founders);
        mayFound = initialCluster == InitialCluster.NEW && founders.containsKey(name);
        this.existingCluster = existingCluster;
        lastNowMillis = nowMillis;
    }

    /** Returns a cluster that exists without this member, or {@link #NO_CLUSTER}. */
    long existingCluster() {
        return existingCluster;
    }

    /** Records the hello of another member. */
    void helloReceived(Hello hello) {
        hellos.put(hello.name(), hello);
        boolean inCluster = hello.cluster() != NO_CLUSTER;
        if (inCluster && existingCluster == NO_CLUSTER && hello.members().get(memberId) == null) {
            existingCluster = hello.cluster();
        }
    }

    /** Forgets a hello whose connection has ended: its sender may come back with another id. */
    void helloEnded(Hello hello) {
        Hello last = hellos.get(hello.name());
        if (last != null && last.id() == hello.id()) {
            hellos.remove(hello.name());
        }
    }

    /** Passes in the time. */
    void tick(long nowMillis) {
        listenedMillis += Math.min(MAX_STEP_MS, nowMillis - lastNowMillis);
        lastNowMillis = nowMillis;
    }

    /** Returns what to do now. */
    Decision decide() {
        Decision.Found found = foundWithAllFounders();
        for (Hello hello : hellos.values()) {
            if (hello.cluster() != NO_CLUSTER && hello.members().get(memberId) != null) {
                // A founder that has begun already proves that the others may, too.
                boolean begun = found != null && found.cluster() == hello.cluster();
                return begun ? found : new Decision.Join(hello);
            }
        }
        boolean listened = listenedMillis >= LISTEN_MS;
        return found != null && listened && existingCluster == NO_CLUSTER ? found : WAIT;
    }

    /**
     * Returns the cluster of all founders if each of them is connected and in no other cluster,
     * else null. Every founder derives the same cluster id, since all use the same names and member
     * ids in the same order.
     */
    private Decision.Found foundWithAllFounders() {
        if (!mayFound) {
            return null;
        }
        List<Member> members = new ArrayList<>();
        long hash = 1;
        for (Map.Entry<String, String> founder : founders.entrySet()) {
            boolean self = founder.getKey().equals(name);
            Hello hello = hellos.get(founder.getKey());
            if (!self && hello == null) {
                return null;
            }
            long id = self ? memberId : hello.id();
            hash = hash * HASH_FACTOR + id;
            members.add(new Member(id, founder.getKey(), founder.getValue(), Member.Role.VOTER));
        }
        long cluster = hash >>> 1 | 1;
        boolean allInIt =
                founders.keySet().stream()
                        .filter(founder -> !founder.equals(name))
                        .map(hellos::get)
                        .allMatch(
                                hello ->
                                        hello.cluster() == NO_CLUSTER
                                                || hello.cluster() == cluster);
        return allInIt ? new Decision.Found(cluster, members) : null;
    }
}
