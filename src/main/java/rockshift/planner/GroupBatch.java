package rockshift.planner;

/**
 * Entries that a batch of changes sends to each bound proxy of one group, and the changes that it
 * may still send.
 */
final class GroupBatch {
    private final ProxyGroup group;
    private final double shortestMessageEntries;
    private double entries;
    private double provisionalTableEntries;
    private ChannelPacer.Allowance allowance = ChannelPacer.Allowance.ANY;
    private boolean hasRequired;

    GroupBatch(ProxyGroup group, double shortestMessageEntries) {
        this.group = group;
        this.shortestMessageEntries = shortestMessageEntries;
    }

    /** Applies the allowance of one of its proxies; the strictest one holds for all. */
    void restrict(ChannelPacer.Allowance ofProxy) {
        if (ofProxy.compareTo(allowance) > 0) {
            allowance = ofProxy;
        }
    }

    boolean allows(ChangeUrgency urgency) {
        return switch (allowance) {
            case ANY -> true;
            case PRIORITY_ONLY -> urgency.usesPriorityBudget();
            case REQUIRED_ONLY -> urgency == ChangeUrgency.REQUIRED;
            case NONE -> false;
        };
    }

    int boundProxies() {
        return group.boundProxies();
    }

    /** Whether something was sent, so that further changes need no message of their own. */
    boolean isStarted() {
        return entries > 0;
    }

    /**
     * Returns the entries that one more change takes in the channel; the first one starts a
     * message.
     */
    double cost() {
        return group.boundProxies() * (isStarted() ? 1 : shortestMessageEntries);
    }

    void add(RoutingTable table, ChangeUrgency urgency, int entriesSent) {
        entries += entriesSent;
        hasRequired |= urgency == ChangeUrgency.REQUIRED;
        if (table == group.provisionalTable()) {
            provisionalTableEntries += entriesSent;
        }
    }

    /** Whether a change that safety requires was sent. */
    boolean hasRequired() {
        return hasRequired;
    }

    /** Returns the entries sent to a bound proxy. */
    double entriesFor(Proxy proxy) {
        return proxy.isProvisional() ? provisionalTableEntries : entries;
    }
}
