package rockshift.server;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rockshift.model.Endpoint;

/**
 * Tracks the replicas that are excluded now, and those that proxies may still exclude because some
 * controller told them to: a proxy keeps exclusions across its channels and controllers. A replica
 * that no controller can have excluded need not be readmitted, which saves a third of the entries
 * sent for a join. Used only by the event loop's thread.
 */
final class ReplicaExclusions {
    /** Maximum number of replicas tracked individually, which take less than a megabyte. */
    private static final int MAX_TRACKED = 10_000;

    private final Set<Long> excluded = new TreeSet<>();
    private final Set<Long> maybeExcludedBefore = new TreeSet<>();
    private boolean allMaybeExcludedBefore;

    /** The replicas that this controller has told a proxy to exclude, by proxy. */
    private final Map<Integer, Set<Long>> sentByProxy = new HashMap<>();

    /**
     * Records a listed replica. Controllers exclude replicas that are listed as leaving. No proxy
     * excludes a replica that was never seen leaving and has not restarted since it was first seen.
     */
    void endpointListed(Endpoint entry, boolean knownBefore) {
        boolean restarted = entry.startedAtTicks() > 0 && knownBefore;
        if (entry.health() != Endpoint.Health.READY || restarted) {
            maybeExcludedBefore.add(entry.replicaId());
        }
    }

    /** Stops tracking individual replicas if there are too many. */
    void limitTracking() {
        if (maybeExcludedBefore.size() > MAX_TRACKED) {
            maybeExcludedBefore.clear();
            allMaybeExcludedBefore = true;
        }
    }

    /**
     * Operators also drain replicas that are listed as ready, so any replica may have been
     * excluded.
     */
    void agreedChangesReceived() {
        allMaybeExcludedBefore = true;
    }

    boolean isExcluded(long replica) {
        return excluded.contains(replica);
    }

    boolean mayBeExcluded(long replica) {
        return allMaybeExcludedBefore || maybeExcludedBefore.contains(replica);
    }

    void setExcluded(long replica, boolean isExcluded) {
        if (isExcluded) {
            excluded.add(replica);
        } else {
            excluded.remove(replica);
        }
    }

    boolean wasSentExcluded(int proxy, long replica) {
        return sentByProxy.getOrDefault(proxy, Set.of()).contains(replica);
    }

    /** Records the exclusions and readmissions that a proxy has been sent. */
    void recordSent(int proxy, Set<Long> nowExcluded, Set<Long> nowReadmitted) {
        Set<Long> sent = sentByProxy.computeIfAbsent(proxy, number -> new TreeSet<>());
        sent.addAll(nowExcluded);
        sent.removeAll(nowReadmitted);
    }

    void forgetReplica(long replica) {
        excluded.remove(replica);
        sentByProxy.values().forEach(sent -> sent.remove(replica));
    }
}
