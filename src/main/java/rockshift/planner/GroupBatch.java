package rockshift.planner;

/** What a batch of changes sends to each bound proxy of one group, and what it may still send. */
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

    /** Takes one of its proxies into account: the strictest allowance holds for all. */
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

    /** Entries that one more change takes of the channel; the first one starts a message. */
    double cost() {
        return group.boundProxies() * (isStarted() ? 1 : shortestMessageEntries);
    }

    void add(RoutingTable table, int entriesSent) {
        entries += entriesSent;
        if (table == group.provisionalTable()) {
            provisionalTableEntries += entriesSent;
        }
    }

    /** Entries that concern a bound proxy. */
    double entriesFor(Proxy proxy) {
        return proxy.isProvisional() ? provisionalTableEntries : entries;
    }
}
