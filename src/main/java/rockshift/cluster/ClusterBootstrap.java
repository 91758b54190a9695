package rockshift.cluster;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.raft.Member;
import rockshift.raft.Snapshot;
import rockshift.storage.DurableLog;
import rockshift.wire.Hello;

/**
 * Makes a member with an empty folder part of a cluster, as {@link FoundingPolicy} decides, and
 * detects that the member's cluster has been superseded. Used only by the member's thread, except
 * {@link #memberId} and {@link #clusterId}.
 */
final class ClusterBootstrap {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);

    private final ClusterSettings settings;
    private final long memberId;
    private final DurableLog log;
    private final Engine engine;
    private final FoundingPolicy policy;

    /** Publishes the cluster that this member is part of to the reactor's thread. */
    private volatile long clusterId;

    /** The cluster that has this member's name under another id, or none. */
    private long supersedingCluster = FoundingPolicy.NO_CLUSTER;

    private boolean failureLogged;

    /** The other clusters that were logged, by the name of the peer. */
    private final Map<String, Long> warnedClusters = new HashMap<>();

    ClusterBootstrap(
            ClusterSettings settings,
            DurableLog.Recovered recovered,
            DurableLog log,
            Engine engine,
            long nowMillis) {
        this.settings = settings;
        this.log = log;
        this.engine = engine;
        memberId = recovered.memberId();
        clusterId = recovered.clusterId();
        policy =
                new FoundingPolicy(
                        settings.name(),
                        memberId,
                        settings.founders(),
                        settings.initialCluster(),
                        recovered.knownClusterId(),
                        nowMillis);
        if (isOtherCluster(recovered.knownClusterId())) {
            heardOfEarlier(recovered.knownClusterId());
        }
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
        return clusterId != FoundingPolicy.NO_CLUSTER;
    }

    /**
     * Returns whether this member must not take part any more: it began its cluster while it could
     * not hear of an older one, which it was a member of.
     */
    boolean isSuperseded() {
        return supersedingCluster != FoundingPolicy.NO_CLUSTER;
    }

    /** Returns the cluster that this member must be replaced in, if it is superseded. */
    long supersedingCluster() {
        return supersedingCluster;
    }

    /** Acts on a cluster without this member that an earlier run has recorded. */
    private void heardOfEarlier(long cluster) {
        if (isPartOfCluster()) {
            setSuperseded(cluster);
        } else {
            LOG.warn(
                    "waiting to be added to a cluster that an earlier run has heard of: remove"
                            + " folder={} to found another one cluster={}",
                    settings.folder(),
                    Long.toHexString(cluster));
        }
    }

    private boolean isOtherCluster(long cluster) {
        return cluster != FoundingPolicy.NO_CLUSTER && cluster != clusterId;
    }

    /** Records the hello of another member; warns if it is part of another cluster. */
    void helloReceived(Hello hello) {
        policy.helloReceived(hello);
        if (!isOtherCluster(hello.cluster())) {
            warnedClusters.remove(hello.name());
            return;
        }
        // Hellos are repeated; each peer's cluster is logged once.
        Long warned = warnedClusters.put(hello.name(), hello.cluster());
        boolean isNew = warned == null || warned != hello.cluster();
        if (!isPartOfCluster()) {
            warnUnlessMember(hello, isNew);
        } else {
            warnOfOtherCluster(hello, isNew);
            detectSuperseded(hello);
        }
    }

    private void warnOfOtherCluster(Hello hello, boolean isNew) {
        if (isNew) {
            LOG.warn(
                    "peer is a member of another cluster peer={} cluster={} expected={}",
                    hello.name(),
                    Long.toHexString(hello.cluster()),
                    Long.toHexString(clusterId));
        }
    }

    private void warnUnlessMember(Hello hello, boolean isNew) {
        if (isNew && hello.members().get(memberId) == null) {
            LOG.warn(
                    "this member is not in the membership of its peer: add it with"
                            + " 'cluster member add {} {}' peer={}",
                    settings.name(),
                    settings.address(),
                    hello.name());
        }
    }

    /**
     * Compares both memberships: the other cluster knows this member's name under another id, whose
     * folder is lost, while this cluster does not know the peer.
     */
    private void detectSuperseded(Hello hello) {
        Member known = hello.members().byName(settings.name());
        boolean knownUnderAnotherId = known != null && known.id() != memberId;
        boolean peerKnownHere = engine.raft().membership().byName(hello.name()) != null;
        if (!isSuperseded() && knownUnderAnotherId && !peerKnownHere) {
            setSuperseded(hello.cluster());
        }
    }

    private void setSuperseded(long by) {
        supersedingCluster = by;
        LOG.error(
                "this cluster is superseded, no longer taking part: remove folder={}, restart, and"
                        + " replace the member in cluster={}",
                settings.folder(),
                Long.toHexString(by));
    }

    /** Forgets the hello of a member whose connection has ended. */
    void helloEnded(Hello hello) {
        policy.helloEnded(hello);
    }

    /** Joins or founds a cluster if that is decided now. Called until it is part of one. */
    void update(long nowMillis) {
        policy.tick(nowMillis);
        FoundingPolicy.Decision decision = policy.decide();
        try {
            if (policy.existingCluster() != FoundingPolicy.NO_CLUSTER) {
                log.recordKnownCluster(policy.existingCluster());
            }
            if (decision instanceof FoundingPolicy.Decision.Join join) {
                join(join.by());
            } else if (decision instanceof FoundingPolicy.Decision.Found found) {
                found(found);
            }
        } catch (IOException failure) {
            logFailure(failure);
        }
    }

    /** Logs a failure once, since each is repeated until it succeeds. */
    private void logFailure(IOException failure) {
        if (!failureLogged) {
            LOG.error("cluster bootstrap failed cause=\"{}\"", failure.toString());
        }
        failureLogged = true;
    }

    private void join(Hello by) throws IOException {
        log.joinCluster(by.cluster(), List.of());
        clusterId = by.cluster();
        warnedClusters.clear();
        LOG.info("cluster joined id={} by={}", Long.toHexString(clusterId), by.name());
    }

    private void found(FoundingPolicy.Decision.Found decision) throws IOException {
        Snapshot first = log.joinCluster(decision.cluster(), decision.founders());
        clusterId = decision.cluster();
        warnedClusters.clear();
        engine.bootstrap(first.membership());
        LOG.info(
                "cluster founded id={} founders={}",
                Long.toHexString(clusterId),
                decision.founders().stream().map(Member::name).toList());
    }
}
