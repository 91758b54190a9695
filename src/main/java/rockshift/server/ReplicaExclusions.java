package rockshift.server;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rockshift.model.Endpoint;

/**
 * Which replicas are excluded now, and which ones proxies may still be excluding because some
 * controller had them do so: a proxy keeps that across its channels and controllers. A replica that
 * no controller can have excluded need not be readmitted, which saves a third of what a join comes
 * to. Used by the event loop's thread.
 */
final class ReplicaExclusions {
    /** Replicas that are tracked singly, in under a megabyte. */
    private static final int MAX_TRACKED = 10_000;

    private final Set<Long> excluded = new TreeSet<>();
    private final Set<Long> maybeExcludedBefore = new TreeSet<>();
    private boolean allMaybeExcludedBefore;

    /** By proxy, what this controller has had it exclude. */
    private final Map<Integer, Set<Long>> sentByProxy = new HashMap<>();

    /**
     * Notes a listed replica. Controllers exclude who is listed as leaving; a replica that was
     * never seen so, and has not restarted since it was first seen, is excluded by no proxy.
     */
    void endpointListed(Endpoint entry, boolean knownBefore) {
        boolean restarted = entry.startedAtTicks() > 0 && knownBefore;
        if (entry.health() != Endpoint.Health.READY || restarted) {
            maybeExcludedBefore.add(entry.replicaId());
        }
    }

    /** Gives up tracking single replicas where there are too many. */
    void limitTracking() {
        if (maybeExcludedBefore.size() > MAX_TRACKED) {
            maybeExcludedBefore.clear();
            allMaybeExcludedBefore = true;
        }
    }

    /** Operators drain replicas that are listed as ready, so that any may have been excluded. */
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

    /** Notes what a proxy has been sent. */
    void sent(int proxy, Set<Long> nowExcluded, Set<Long> nowReadmitted) {
        Set<Long> sent = sentByProxy.computeIfAbsent(proxy, number -> new TreeSet<>());
        sent.addAll(nowExcluded);
        sent.removeAll(nowReadmitted);
    }

    void forgetReplica(long replica) {
        excluded.remove(replica);
        sentByProxy.values().forEach(sent -> sent.remove(replica));
    }
}
