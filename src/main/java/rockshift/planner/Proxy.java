package rockshift.planner;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** Proxy whose stream is up, with its group, tables, demand and sent messages. */
final class Proxy {
    /**
     * Binding cost if there are no tables to bind: above any budget. It is a number because {@link
     * DrainNotifier} adds up the costs of the proxies that are bound before another.
     */
    static final double NOT_BINDABLE = Double.MAX_VALUE;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int number;
    private final int zoneIndex;
    private final long joinedAtTicks;
    private final double baselineRatePerSecond;
    private final boolean orderedTables;
    private final List<ClassDemand> demands = new ArrayList<>();
    private final ProxySendState sendState = new ProxySendState();
    private long drainNoticesSentAtTicks = NEVER;
    private ProxyGroup group;
    private boolean bound;
    private boolean provisional;
    private KeptTables keptTables;

    /** By class number, whether its last report of requests says that none was served. */
    private final BitSet unservedClasses = new BitSet();

    private long lastServedAtTicks = NEVER;

    /**
     * Creates a proxy without a group.
     *
     * @param baselineRatePerSecond usual rate in transactions per second, all classes together
     * @param orderedTables whether it holds tables that a controller wrote
     * @param reportedUntilTicks time until which its arrivals count as known
     */
    Proxy(
            int number,
            int zoneIndex,
            int classCount,
            double baselineRatePerSecond,
            boolean orderedTables,
            long joinedAtTicks,
            long reportedUntilTicks) {
        this.number = number;
        this.zoneIndex = zoneIndex;
        this.joinedAtTicks = joinedAtTicks;
        this.orderedTables = orderedTables;
        for (int k = 0; k < classCount; k++) {
            demands.add(new ClassDemand(baselineRatePerSecond / classCount, reportedUntilTicks));
        }
        this.baselineRatePerSecond = demands.stream().mapToDouble(ClassDemand::ratePerSecond).sum();
    }

    int number() {
        return number;
    }

    int zoneIndex() {
        return zoneIndex;
    }

    long joinedAtTicks() {
        return joinedAtTicks;
    }

    double baselineRatePerSecond() {
        return baselineRatePerSecond;
    }

    /** Whether it joined with tables that a controller wrote, rather than those of its start. */
    boolean hasOrderedTables() {
        return orderedTables;
    }

    /** What the tables that it joined with may contain; null until it has a group. */
    KeptTables keptTables() {
        return keptTables;
    }

    void setKeptTables(KeptTables tables) {
        keptTables = tables;
    }

    /** Records how many requests of a class it received, and how many of them it did not serve. */
    void recordServed(int classNumber, int arrivals, int failures, long now) {
        if (arrivals > 0) {
            unservedClasses.set(classNumber, failures >= arrivals);
        }
        if (arrivals > failures) {
            lastServedAtTicks = now;
        }
    }

    /** When it last reported requests that it served. */
    long lastServedAtTicks() {
        return lastServedAtTicks;
    }

    /** Whether it served no request of some class, by its last report about that class. */
    boolean servedNothing() {
        return !unservedClasses.isEmpty();
    }

    /** By class. */
    List<ClassDemand> demands() {
        return demands;
    }

    /** Messages sent to it; maintained by {@link ChannelPacer}. */
    ProxySendState sendState() {
        return sendState;
    }

    /** When it was last sent notices of all departed replicas. */
    long drainNoticesSentAtTicks() {
        return drainNoticesSentAtTicks;
    }

    void setDrainNoticesSentAtTicks(long now) {
        drainNoticesSentAtTicks = now;
    }

    /** Null until groups exist. */
    ProxyGroup group() {
        return group;
    }

    void joinGroup(ProxyGroup joined) {
        group = joined;
        group.proxyJoined();
    }

    void leaveGroup() {
        if (group != null) {
            group.proxyLeft(bound);
        }
    }

    /** Whether it is bound to tables of this controller. */
    boolean isBound() {
        return bound;
    }

    /** Whether one provisional table still serves all classes. */
    boolean isProvisional() {
        return provisional;
    }

    void recordBoundToProvisionalTable() {
        setBound();
        provisional = true;
    }

    void recordBoundToTables() {
        setBound();
        provisional = false;
    }

    private void setBound() {
        if (!bound) {
            group.proxyBound();
        }
        bound = true;
    }

    /** Whether there are tables to bind it to. */
    boolean isBindable() {
        return group != null && group.isBindable();
    }

    /**
     * Returns the entries that binding it to its tables takes; {@link #NOT_BINDABLE} if there are
     * none yet.
     */
    double bindingCost() {
        return isBindable() ? group.bindingCost() : NOT_BINDABLE;
    }

    /**
     * Returns the entries that binding it to the provisional table takes; {@link #NOT_BINDABLE} if
     * it cannot be bound yet.
     */
    double provisionalBindingCost() {
        return isBindable() ? group.provisionalBindingCost() : NOT_BINDABLE;
    }
}
