package rockshift.distribution;

import java.util.Collection;

/** Checks the messages of subscribers by themselves, before anything is spent on them. */
final class RequestValidator {
    private RequestValidator() {}

    /**
     * Rejects a subscription that no publisher of this kind could ever take.
     *
     * @param subscription what is known of the connection that it came over
     * @param served what this publisher holds
     */
    static void check(
            DistributionMessage.Subscribe message,
            Subscription subscription,
            Scope served,
            Limits limits)
            throws RejectionException {
        Limits.Sizes sizes = limits.sizes();
        checkName("subscriber", message.subscriber(), sizes);
        if (subscription.subscribed() && !subscription.name().equals(message.subscriber())) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, "subscriber: was '" + subscription.name() + "'");
        } else if (message.scopeEpoch() < 1) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, "scopeEpoch: " + message.scopeEpoch());
        } else if (subscription.subscribed() && message.scopeEpoch() <= subscription.scopeEpoch()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "scopeEpoch: " + message.scopeEpoch() + " after " + subscription.scopeEpoch());
        } else if (subscription.unconfirmedScopeChanges()
                > limits.admission().maxUnacknowledgedDifferences()) {
            throw new RejectionException(
                    RejectionReason.SLOW,
                    "scopeEpoch: "
                            + subscription.unconfirmedScopeChanges()
                            + " changes that were not confirmed");
        } else if (message.held().number() < 0
                || message.held().cluster() == 0 && message.held().number() != 0) {
            throw new RejectionException(RejectionReason.MALFORMED, "held: " + message.held());
        }
        checkScope(message.scope(), served, sizes);
    }

    /**
     * Rejects an acknowledgement on a connection that has not subscribed, or of a scope never asked
     * for.
     */
    static void checkSubscribed(DistributionMessage.Acknowledge message, Subscription subscription)
            throws RejectionException {
        if (!subscription.subscribed()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "acknowledge before subscribe");
        } else if (message.scopeEpoch() > subscription.scopeEpoch()) {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "scopeEpoch: " + message.scopeEpoch() + " was never asked for");
        }
    }

    /**
     * Rejects an acknowledgement of a revision that was never sent, or of an earlier one than
     * before.
     */
    static void check(
            DistributionMessage.Acknowledge message, Subscription subscription, Revision current)
            throws RejectionException {
        Revision inForce = message.inForce();
        Summary summary = message.summary();
        if (message.snapshotParts() < 0
                || summary.subscribers() < 0
                || summary.behind() < 0
                || summary.unreachable() < 0) {
            throw new RejectionException(RejectionReason.MALFORMED, "negative count");
        } else if (!inForce.isNone() && !inForce.sameCluster(current)) {
            throw new RejectionException(RejectionReason.OTHER_CLUSTER, "inForce: " + inForce);
        } else if (inForce.number() < subscription.report().inForce().number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "inForce: " + inForce + " after " + subscription.report().inForce());
        }
        Revision newest =
                subscription.delivery().transfer() == null
                        ? subscription.delivery().sentRevision()
                        : current;
        if (inForce.number() > newest.number()) {
            throw new RejectionException(
                    RejectionReason.FUTURE_REVISION, "inForce: " + inForce + ", told " + newest);
        }
    }

    private static void checkScope(Scope scope, Scope served, Limits.Sizes sizes)
            throws RejectionException {
        int names = scope.services().size() + scope.zones().size();
        if (scope.isEmpty()) {
            throw new RejectionException(
                    RejectionReason.EMPTY_SCOPE, "scope: no service and no zone");
        } else if (names > sizes.maxScopeNames()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "scope: " + names + " of " + sizes.maxScopeNames() + " names");
        }
        checkNames("services", scope.services(), sizes);
        checkNames("zones", scope.zones(), sizes);
        String firstUncovered = served.firstUncovered(scope);
        if (firstUncovered != null) {
            throw new RejectionException(RejectionReason.UNKNOWN_SCOPE, firstUncovered);
        }
    }

    private static void checkNames(String field, Collection<String> names, Limits.Sizes sizes)
            throws RejectionException {
        for (String name : names) {
            checkName(field, name, sizes);
        }
    }

    private static void checkName(String field, String name, Limits.Sizes sizes)
            throws RejectionException {
        if (name.isEmpty()) {
            throw new RejectionException(RejectionReason.MALFORMED, field + ": empty name");
        } else if (name.length() > sizes.maxNameLength()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    field + ": " + name.length() + " of " + sizes.maxNameLength() + " characters");
        }
    }
}
