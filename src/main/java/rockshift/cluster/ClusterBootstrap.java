package rockshift.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.Member;
import rockshift.raft.Snapshot;
import rockshift.storage.DurableLog;
import rockshift.wire.Hello;

/**
 * Makes a member with an empty folder part of a cluster. The founders found a cluster once each has
 * received hellos without a cluster from all the others; a single founder does so at once. A member
 * that is named in the membership of an existing cluster joins that cluster. Used only by the
 * member's thread, except {@link #memberId} and {@link #clusterId}.
 */
final class ClusterBootstrap {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);

    /** The cluster id of a member that is not part of a cluster. */
    private static final long NO_CLUSTER = 0;

    private static final long HASH_FACTOR = 31;

    private final ClusterSettings settings;
    private final long memberId;
    private final DurableLog log;
    private final Engine engine;

    /** The last hello received from each member, by name. */
    private final Map<String, Hello> lastHellos = new TreeMap<>();

    /** Publishes the cluster that this member is part of to the reactor's thread. */
    private volatile long clusterId;

    ClusterBootstrap(
            ClusterSettings settings,
            DurableLog.Recovered recovered,
            DurableLog log,
            Engine engine) {
        this.settings = settings;
        this.log = log;
        this.engine = engine;
        memberId = recovered.memberId();
        clusterId = recovered.clusterId();
    }

    /** Returns this member's id, drawn at random when its folder was created. */
    long memberId() {
        return memberId;
    }

    /** Returns the id of the cluster that this member is part of, or 0. Thread-safe. */
    long clusterId() {
        return clusterId;
    }

    boolean isPartOfCluster() {
        return clusterId != NO_CLUSTER;
    }

    /** Records the hello of another member; warns if it is part of another cluster. */
    void helloReceived(Hello hello) {
        lastHellos.put(hello.name(), hello);
        if (isPartOfCluster() && hello.cluster() != NO_CLUSTER && hello.cluster() != clusterId) {
            LOG.warn(
                    "peer is a member of another cluster peer={} cluster={} expected={}",
                    hello.name(),
                    Long.toHexString(hello.cluster()),
                    Long.toHexString(clusterId));
        }
    }

    /**
     * Joins a cluster, or founds one with all founders, if that is possible now.
     *
     * @param hello the hello just received from another member, or null at startup
     */
    void tryJoinOrFound(Hello hello) {
        try {
            if (hello == null || hello.cluster() == NO_CLUSTER) {
                foundWithAllFounders();
            } else if (hello.members().get(memberId) != null) {
                join(hello);
            } else {
                LOG.warn(
                        "this member is not in the membership of its peer: add it with"
                                + " 'cluster member add {} {}' peer={}",
                        settings.name(),
                        settings.address(),
                        hello.name());
            }
        } catch (IOException failure) {
            LOG.error("cluster bootstrap failed cause=\"{}\"", failure.getMessage());
        }
    }

    private void join(Hello hello) throws IOException {
        log.joinCluster(hello.cluster(), List.of());
        clusterId = hello.cluster();
        LOG.info("cluster joined id={} by={}", Long.toHexString(clusterId), hello.name());
    }

    /**
     * Founds a cluster. Every founder derives the same cluster id and members, since all use the
     * same names and member ids in the same order.
     */
    private void foundWithAllFounders() throws IOException {
        if (!settings.founders().containsKey(settings.name())) {
            return;
        }
        List<Member> founders = new ArrayList<>();
        long hash = 1;
        for (Map.Entry<String, String> founder : new TreeMap<>(settings.founders()).entrySet()) {
            String name = founder.getKey();
            boolean self = name.equals(settings.name());
            Hello hello = lastHellos.get(name);
            if (!self && (hello == null || hello.cluster() != NO_CLUSTER)) {
                return;
            }
            long id = self ? memberId : hello.id();
            hash = hash * HASH_FACTOR + id;
            founders.add(new Member(id, name, founder.getValue(), Member.Role.VOTER));
        }
        long newClusterId = hash >>> 1 | 1;
        Snapshot first = log.joinCluster(newClusterId, founders);
        clusterId = newClusterId;
        engine.bootstrap(first.membership());
        LOG.info(
                "cluster founded id={} founders={}",
                Long.toHexString(clusterId),
                founders.stream().map(Member::name).toList());
    }
}
