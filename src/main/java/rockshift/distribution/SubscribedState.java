package rockshift.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state that a subscriber has received, reduced to the digests of its items; the host holds the
 * items themselves. Within a cluster its revision never decreases. Confined to the subscriber's
 * thread.
 */
final class SubscribedState {
    private final Limits.Sizes sizes;
    private Revision revision = Revision.NONE;
    private long scopeEpoch;
    private Map<String, Long> digests = new HashMap<>();
    private long digest;

    SubscribedState(Limits.Sizes sizes) {
        this.sizes = sizes;
    }

    Revision revision() {
        return revision;
    }

    /** Returns the epoch of the scope that the state belongs to. */
    long scopeEpoch() {
        return scopeEpoch;
    }

    long digest() {
        return digest;
    }

    /**
     * Rejects a snapshot that is older than the state or was written by another cluster.
     *
     * @param adopted the cluster to switch to; 0 if there is none
     */
    void checkSuccessor(Revision next, long adopted) throws RejectionException {
        boolean follows = revision.isNone() || revision.sameCluster(next);
        if (next.isNone() || next.number() < 0) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, "revision: invalid revision " + next);
        } else if (next.cluster() != adopted && (!follows || adopted != 0)) {
            throw new RejectionException(
                    RejectionReason.OTHER_CLUSTER,
                    "revision: " + next + " is of another cluster, held " + revision);
        } else if (follows && next.number() < revision.number()) {
            throw new RejectionException(
                    RejectionReason.FUTURE_REVISION,
                    "revision: " + next + " is older than the held " + revision);
        }
    }

    /** Rejects a heartbeat that does not confirm this state. */
    void checkConfirmedBy(DistributionMessage.Heartbeat heartbeat) throws RejectionException {
        Revision current = heartbeat.current();
        String detail = "current: " + current + ", held " + revision;
        if (!revision.sameCluster(current)) {
            throw new RejectionException(RejectionReason.OTHER_CLUSTER, detail);
        } else if (current.number() < revision.number()) {
            throw new RejectionException(RejectionReason.FUTURE_REVISION, detail);
        } else if (heartbeat.digest() != digest) {
            throw new RejectionException(RejectionReason.DIGEST_MISMATCH, detail);
        }
    }

    /** Replaces the state. */
    void replace(Revision newRevision, long epoch, Map<String, Long> itemDigests) {
        revision = newRevision;
        scopeEpoch = epoch;
        digests = itemDigests;
        digest = itemDigests.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Applies a difference entirely, or rejects it and leaves the state unchanged. */
    void apply(DistributionMessage.Difference difference, Scope scope) throws RejectionException {
        check(difference, scope);
        long after = digest;
        int added = 0;
        for (Update update : difference.updates()) {
            Long before = digests.get(update.item().key());
            after +=
                    (update.deleted() ? 0 : update.item().digest()) - (before == null ? 0 : before);
            added += (update.deleted() ? 0 : 1) - (before == null ? 0 : 1);
        }
        sizes.checkStateItems(digests.size() + added);
        if (after != difference.digest()) {
            throw new RejectionException(
                    RejectionReason.DIGEST_MISMATCH,
                    "difference: digest does not match the resulting state at " + difference.to());
        }
        difference.updates().forEach(this::put);
        digest = after;
        revision = difference.to();
    }

    /** Advances to a later revision at which the state is unchanged. */
    void advance(Revision to) {
        revision = to;
    }

    private void put(Update update) {
        if (update.deleted()) {
            digests.remove(update.item().key());
        } else {
            digests.put(update.item().key(), update.item().digest());
        }
    }

    private void check(DistributionMessage.Difference difference, Scope scope)
            throws RejectionException {
        Revision from = difference.from();
        Revision to = difference.to();
        if (difference.scopeEpoch() != scopeEpoch || !from.equals(revision)) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "from: "
                            + from
                            + " in scope epoch "
                            + difference.scopeEpoch()
                            + ", held "
                            + revision
                            + " in scope epoch "
                            + scopeEpoch);
        } else if (!to.sameCluster(from) || to.number() <= from.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "to: " + to + " does not follow " + from);
        } else if (difference.updates().size() > sizes.maxDifferenceUpdates()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "updates: "
                            + difference.updates().size()
                            + " updates, maximum is "
                            + sizes.maxDifferenceUpdates());
        }
        check(difference.updates(), from.number(), to.number(), scope);
    }

    private void check(List<Update> updates, long from, long to, Scope scope)
            throws RejectionException {
        Set<String> keys = new HashSet<>();
        for (int index = 0; index < updates.size(); index++) {
            Update update = updates.get(index);
            String field = "updates[" + index + "]";
            sizes.check(update.item(), field);
            update.checkBetween(from, to, field);
            if (!update.deleted() && !scope.matches(update)) {
                throw new RejectionException(
                        RejectionReason.OUT_OF_SCOPE,
                        field + ": " + update.item() + " is outside the scope");
            } else if (!keys.add(update.item().key())) {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        field + ".key: '" + update.item().key() + "' is duplicated");
            }
        }
    }
}
