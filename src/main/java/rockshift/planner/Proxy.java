package rockshift.planner;

import java.util.ArrayList;
import java.util.List;

/** A proxy whose stream is up: its group and tables, its demand, and what it was sent. */
final class Proxy {
    /**
     * The binding cost where there are no tables to bind: above any budget. It is a number, as
     * {@link DrainNotifier} adds up the costs of the proxies that are bound before another.
     */
    static final double NOT_BINDABLE = Double.MAX_VALUE;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final int number;
    private final int zoneIndex;
    private final long joinedAtTicks;
    private final double baselineRatePerSecond;
    private final List<ClassDemand> demands = new ArrayList<>();
    private final ProxySendState sendState = new ProxySendState();
    private long drainNoticesSentAtTicks = NEVER;
    private ProxyGroup group;
    private boolean bound;
    private boolean provisional;

    /**
     * A proxy without a group.
     *
     * @param baselineRatePerSecond transactions that it usually receives, of all classes together
     * @param reportedUntilTicks until when its arrivals count as known
     */
    Proxy(
            int number,
            int zoneIndex,
            int classCount,
            double baselineRatePerSecond,
            long joinedAtTicks,
            long reportedUntilTicks) {
        this.number = number;
        this.zoneIndex = zoneIndex;
        this.joinedAtTicks = joinedAtTicks;
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

    /** By class. */
    List<ClassDemand> demands() {
        return demands;
    }

    /** What it was sent; {@link ChannelPacer} keeps it. */
    ProxySendState sendState() {
        return sendState;
    }

    /** When it was last sent notices of all replicas that left. */
    long drainNoticesSentAtTicks() {
        return drainNoticesSentAtTicks;
    }

    void setDrainNoticesSentAtTicks(long now) {
        drainNoticesSentAtTicks = now;
    }

    // ---- group and tables ----------------------------------------------------------------------

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

    /** Whether it has tables of this controller. */
    boolean isBound() {
        return bound;
    }

    /** Whether one provisional table still serves all classes. */
    boolean isProvisional() {
        return provisional;
    }

    /** Notes that it was bound to the provisional table of its group. */
    void boundToProvisionalTable() {
        setBound();
        provisional = true;
    }

    /** Notes that it was bound to all tables of its group. */
    void boundToTables() {
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

    /** Entries that binding its tables takes; {@link #NOT_BINDABLE} where there are none yet. */
    double bindingCost() {
        return isBindable() ? group.bindingCost() : NOT_BINDABLE;
    }

    /** The same for the provisional table. */
    double provisionalBindingCost() {
        return isBindable() ? group.provisionalBindingCost() : NOT_BINDABLE;
    }
}
