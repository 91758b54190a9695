package rockshift.distribution;

import java.util.Collection;

/** Validation of subscribers' messages, before any resources are spent on them. */
final class RequestValidator {
    private RequestValidator() {}

    /**
     * Rejects a subscription that is invalid or that this publisher can never serve.
     *
     * @param subscription the state of the connection that the message was received on
     * @param served the scope that this publisher serves
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
                    RejectionReason.MALFORMED,
                    "subscriber: expected '"
                            + subscription.name()
                            + "', got '"
                            + message.subscriber()
                            + "'");
        } else if (message.scopeEpoch() < 1) {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "scopeEpoch: " + message.scopeEpoch() + ", must be at least 1");
        } else if (subscription.subscribed() && message.scopeEpoch() <= subscription.scopeEpoch()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "scopeEpoch: "
                            + message.scopeEpoch()
                            + " after "
                            + subscription.scopeEpoch()
                            + ", must increase");
        } else if (subscription.unconfirmedScopeChanges()
                > limits.admission().maxUnacknowledgedDifferences()) {
            throw new RejectionException(
                    RejectionReason.SLOW,
                    "scopeEpoch: "
                            + subscription.unconfirmedScopeChanges()
                            + " unacknowledged scope changes, maximum is "
                            + limits.admission().maxUnacknowledgedDifferences());
        } else if (message.held().number() < 0
                || message.held().cluster() == 0 && message.held().number() != 0) {
            throw new RejectionException(
                    RejectionReason.MALFORMED, "held: invalid revision " + message.held());
        }
        checkScope(message.scope(), served, sizes);
    }

    /**
     * Rejects an acknowledgement before the first subscription, or of a scope that was never
     * subscribed to.
     */
    static void checkSubscribed(DistributionMessage.Acknowledge message, Subscription subscription)
            throws RejectionException {
        if (!subscription.subscribed()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER, "acknowledge before subscribe");
        } else if (message.scopeEpoch() > subscription.scopeEpoch()) {
            throw new RejectionException(
                    RejectionReason.MALFORMED,
                    "scopeEpoch: "
                            + message.scopeEpoch()
                            + " was never subscribed to, latest is "
                            + subscription.scopeEpoch());
        }
    }

    /**
     * Rejects an acknowledgement of a revision that was never sent, or that is earlier than the
     * last acknowledged one.
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
            throw new RejectionException(
                    RejectionReason.MALFORMED, "snapshotParts or summary: negative count");
        } else if (!inForce.isNone() && !inForce.sameCluster(current)) {
            throw new RejectionException(
                    RejectionReason.OTHER_CLUSTER,
                    "inForce: " + inForce + " is of another cluster than " + current);
        } else if (inForce.number() < subscription.report().inForce().number()) {
            throw new RejectionException(
                    RejectionReason.OUT_OF_ORDER,
                    "inForce: "
                            + inForce
                            + " is older than the last acknowledged "
                            + subscription.report().inForce());
        }
        Revision newest =
                subscription.delivery().transfer() == null
                        ? subscription.delivery().sentRevision()
                        : current;
        if (inForce.number() > newest.number()) {
            throw new RejectionException(
                    RejectionReason.FUTURE_REVISION,
                    "inForce: " + inForce + " is newer than the last sent " + newest);
        }
    }

    private static void checkScope(Scope scope, Scope served, Limits.Sizes sizes)
            throws RejectionException {
        int names = scope.services().size() + scope.zones().size();
        if (scope.isEmpty()) {
            throw new RejectionException(
                    RejectionReason.EMPTY_SCOPE, "scope: names no service and no zone");
        } else if (names > sizes.maxScopeNames()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    "scope: " + names + " names, maximum is " + sizes.maxScopeNames());
        }
        checkNames("services", scope.services(), sizes);
        checkNames("zones", scope.zones(), sizes);
        String uncovered = served.firstUncovered(scope);
        if (uncovered != null) {
            throw new RejectionException(
                    RejectionReason.UNKNOWN_SCOPE,
                    "scope: not served by this publisher: " + uncovered);
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
            throw new RejectionException(
                    RejectionReason.MALFORMED, field + ": name must not be empty");
        } else if (name.length() > sizes.maxNameLength()) {
            throw new RejectionException(
                    RejectionReason.TOO_LARGE,
                    field
                            + ": "
                            + name.length()
                            + " characters, maximum is "
                            + sizes.maxNameLength());
        }
    }
}
