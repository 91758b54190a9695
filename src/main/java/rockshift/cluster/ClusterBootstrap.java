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
 * How a member with an empty folder becomes part of a cluster. Founders begin one once each has met
 * all the others without a cluster; one that founds alone begins at once. Who is named by a cluster
 * that exists joins it. Used by the member's thread, but for its own id and {@link #clusterId}.
 */
final class ClusterBootstrap {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);

    /** The id of no cluster. */
    private static final long NONE = 0;

    private static final long HASH_FACTOR = 31;

    private final ClusterSettings settings;
    private final long memberId;
    private final DurableLog log;
    private final Engine engine;

    /** The last hello of each member met, by name. */
    private final Map<String, Hello> lastHellos = new TreeMap<>();

    /** Publishes the cluster that this member is part of to the reactor's thread. */
    private volatile long clusterId;

    ClusterBootstrap(
            ClusterSettings settings, DurableLog.Recovered found, DurableLog log, Engine engine) {
        this.settings = settings;
        this.log = log;
        this.engine = engine;
        memberId = found.id();
        clusterId = found.cluster();
    }

    /** This member's id, drawn when its folder was new. */
    long memberId() {
        return memberId;
    }

    /** The cluster that this member is part of, or 0. Any thread may call it. */
    long clusterId() {
        return clusterId;
    }

    boolean isPartOfCluster() {
        return clusterId != NONE;
    }

    /** Notes what another member has said; warns of one that belongs to another cluster. */
    void helloReceived(Hello hello) {
        lastHellos.put(hello.name(), hello);
        if (isPartOfCluster() && hello.cluster() != NONE && hello.cluster() != clusterId) {
            LOG.warn(
                    "member of another cluster met peer={} cluster={} expected={}",
                    hello.name(),
                    Long.toHexString(hello.cluster()),
                    Long.toHexString(clusterId));
        }
    }

    /**
     * Joins a cluster, or founds one with all founders, if that is possible now.
     *
     * @param hello what another member has just said, or null as this one begins
     */
    void tryJoinOrFound(Hello hello) {
        try {
            if (hello == null || hello.cluster() == NONE) {
                foundWithAllFounders();
            } else if (hello.members().get(memberId) != null) {
                join(hello);
            } else {
                LOG.warn(
                        "not a member of the cluster of peer={}:"
                                + " add it with 'cluster member add {} {}'",
                        hello.name(),
                        settings.name(),
                        settings.address());
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

    /** Every founder works out the same id and members from the same names and ids. */
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
            if (!self && (hello == null || hello.cluster() != NONE)) {
                return;
            }
            long id = self ? memberId : hello.id();
            hash = hash * HASH_FACTOR + id;
            founders.add(new Member(id, name, founder.getValue(), Member.Role.VOTER));
        }
        long newCluster = hash >>> 1 | 1;
        Snapshot first = log.joinCluster(newCluster, founders);
        clusterId = newCluster;
        engine.bootstrap(first.membership());
        LOG.info(
                "cluster founded id={} founders={}",
                Long.toHexString(clusterId),
                founders.stream().map(Member::name).toList());
    }
}
