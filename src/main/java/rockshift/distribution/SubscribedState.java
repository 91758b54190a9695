package rockshift.distribution;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state that a subscriber has received, by the digests of its items alone: the items are with
 * the host. It never goes back a revision of its cluster. Owned by the subscriber's thread.
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

    /** The epoch of the scope that the state is of. */
    long scopeEpoch() {
        return scopeEpoch;
    }

    long digest() {
        return digest;
    }

    /**
     * Rejects a snapshot that would go back, or that another cluster wrote.
     *
     * @param adopted the cluster to go over to; 0 if there is none
     */
    void checkFollows(Revision next, long adopted) throws RejectionException {
        boolean follows = revision.isNone() || revision.sameCluster(next);
        if (next.isNone() || next.number() < 0) {
            throw new RejectionException(RejectionReason.MALFORMED, "revision: " + next);
        } else if (next.cluster() != adopted && (!follows || adopted != 0)) {
            throw new RejectionException(
                    RejectionReason.OTHER_CLUSTER, "revision: " + next + ", held " + revision);
        } else if (follows && next.number() < revision.number()) {
            throw new RejectionException(
                    RejectionReason.FUTURE_REVISION,
                    "revision: " + next + " is older than " + revision);
        }
    }

    /** Rejects a heartbeat that does not confirm this state. */
    void checkStandsAt(DistributionMessage.Heartbeat heartbeat) throws RejectionException {
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

    /** Takes a whole state in place of the one before. */
    void replace(Revision at, long epoch, Map<String, Long> whole) {
        revision = at;
        scopeEpoch = epoch;
        digests = whole;
        digest = whole.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Applies a difference whole, or rejects it and stays as it was. */
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
                    RejectionReason.DIGEST_MISMATCH, "difference: to " + difference.to());
        }
        difference.updates().forEach(this::put);
        digest = after;
        revision = difference.to();
    }

    /** The state stands unchanged at a later revision. */
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
                    RejectionReason.OUT_OF_ORDER, "from: " + from + ", held " + revision);
        } else if (!to.sameCluster(from) || to.number() <= from.number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "to: " + to + " after " + from);
        } else if (difference.updates().size() > sizes.maxDifferenceUpdates()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "updates: "
                            + difference.updates().size()
                            + " of "
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
                        RejectionReason.OUT_OF_SCOPE, field + ": " + update.item());
            } else if (!keys.add(update.item().key())) {
                throw new RejectionException(
                        RejectionReason.MALFORMED,
                        field + ".key: '" + update.item().key() + "' comes twice");
            }
        }
    }
}
