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
    private boolean priorityOnly;
    private boolean blocked;

    GroupBatch(ProxyGroup group, double shortestMessageEntries) {
        this.group = group;
        this.shortestMessageEntries = shortestMessageEntries;
    }

    /** Applies the allowance of one of its proxies; the strictest one holds for all. */
    void restrict(ChannelPacer.Allowance allowance) {
        priorityOnly |= allowance != ChannelPacer.Allowance.ANY;
        blocked |= allowance == ChannelPacer.Allowance.NONE;
    }

    boolean allows(boolean priority) {
        return priority ? !blocked : !priorityOnly;
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

    void add(RoutingTable table, int entriesSent) {
        entries += entriesSent;
        if (table == group.provisionalTable()) {
            provisionalTableEntries += entriesSent;
        }
    }

    /** Returns the entries sent to a bound proxy. */
    double entriesFor(Proxy proxy) {
        return proxy.isProvisional() ? provisionalTableEntries : entries;
    }
}
