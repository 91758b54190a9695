package rockshift.settings;

import static rockshift.settings.SettingChecks.requireNotNegative;

import java.util.List;
import java.util.Set;

/**
 * Settings of a deployment for the planner and its hosts. Immutable; validated on construction.
 * Names state the unit; a tick is 100 microseconds. {@link Builder} holds the defaults.
 *
 * @param zones names of the zones; each proxy is in one of them
 * @param classes request classes, in the order of their numbers
 * @param sharded whether keys are split over shards with tables of their own; the planner publishes
 *     no tables in that case
 * @param controllerCount number of controllers in the deployment
 * @param expectedProxies number of proxies in the deployment, over all controllers
 * @param channelEntriesPerSecond table entries per second that a controller's channel to its
 *     proxies carries
 * @param channelQueueLimitEntries table entries that may be queued in that channel
 * @param messageOverheadEntries overhead of a message, in table entries, in addition to the entries
 *     it carries
 * @param messageQuota messages that a proxy may be sent in one window; 0 for no limit
 * @param messageQuotaWindowTicks length of that window
 * @param transitTicks mean time that a message takes from the channel to a proxy
 * @param longestTransitTicks longest time that a message takes from the channel to a proxy
 * @param reportPeriodTicks time between two reports of a proxy; 0 if unknown
 * @param defaultRetryMode how proxies retry if no mode is set: 0 for never, 1 only after proof that
 *     the attempt did not run, higher values after any failure
 * @param admissionMode how proxies interpret admission levels
 * @param idleCloseTicks time after which a proxy closes an idle connection
 * @param drainGraceTicks time that proxies have to stop using a draining replica
 * @param noReplicaLimitTicks maximum time for which a proxy may have no replica to use
 * @param initialSlowStartFraction minimum fraction of its capacity that a replica has when it
 *     starts
 * @param slowStartTicks time after its start at which a replica has its full capacity
 * @param slowStartOverloadMultiple load above which a starting replica fails, as a multiple of its
 *     current capacity
 * @param worstClassWeight weight that the deployment's goal gives to the class with the worst
 *     result
 * @param zoneCrossingPrice price of sending an attempt to another zone, as a fraction of the goal
 * @param commandPrice price of a fully used command channel, as a fraction of the goal
 * @param loadMetricNames names of the load metrics that replicas report
 * @param subscribesToDiscovery whether discovery sends changes only after a subscription
 * @param turnSpacingTicks minimum time between the starts of two turns of a controller's event loop
 */
public record PlannerSettings(
        List<String> zones,
        List<ClassSettings> classes,
        boolean sharded,
        int controllerCount,
        int expectedProxies,
        double channelEntriesPerSecond,
        double channelQueueLimitEntries,
        double messageOverheadEntries,
        double messageQuota,
        double messageQuotaWindowTicks,
        double transitTicks,
        double longestTransitTicks,
        long reportPeriodTicks,
        int defaultRetryMode,
        AdmissionMode admissionMode,
        double idleCloseTicks,
        double drainGraceTicks,
        double noReplicaLimitTicks,
        double initialSlowStartFraction,
        double slowStartTicks,
        double slowStartOverloadMultiple,
        double worstClassWeight,
        double zoneCrossingPrice,
        double commandPrice,
        Set<String> loadMetricNames,
        boolean subscribesToDiscovery,
        long turnSpacingTicks) {
    /**
     * Rejects invalid class names, an empty list of zones, and numbers that are negative or NaN.
     */
    public PlannerSettings {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
        loadMetricNames = Set.copyOf(loadMetricNames);
        ClassNames.of(classes);
        if (zones.isEmpty()) {
            throw new InvalidSettingException("zones", "must name at least one zone");
        }
        requireNotNegative("controllerCount", controllerCount);
        requireNotNegative("expectedProxies", expectedProxies);
        requireNotNegative("channelEntriesPerSecond", channelEntriesPerSecond);
        requireNotNegative("channelQueueLimitEntries", channelQueueLimitEntries);
        requireNotNegative("messageOverheadEntries", messageOverheadEntries);
        requireNotNegative("messageQuota", messageQuota);
        requireNotNegative("messageQuotaWindowTicks", messageQuotaWindowTicks);
        requireNotNegative("transitTicks", transitTicks);
        requireNotNegative("longestTransitTicks", longestTransitTicks);
        requireNotNegative("reportPeriodTicks", reportPeriodTicks);
        requireNotNegative("defaultRetryMode", defaultRetryMode);
        requireNotNegative("idleCloseTicks", idleCloseTicks);
        requireNotNegative("drainGraceTicks", drainGraceTicks);
        requireNotNegative("noReplicaLimitTicks", noReplicaLimitTicks);
        requireNotNegative("initialSlowStartFraction", initialSlowStartFraction);
        requireNotNegative("slowStartTicks", slowStartTicks);
        requireNotNegative("slowStartOverloadMultiple", slowStartOverloadMultiple);
        requireNotNegative("worstClassWeight", worstClassWeight);
        requireNotNegative("zoneCrossingPrice", zoneCrossingPrice);
        requireNotNegative("commandPrice", commandPrice);
        requireNotNegative("turnSpacingTicks", turnSpacingTicks);
    }

    /** Returns a builder with the defaults. */
    public static Builder newBuilder() {
        return new Builder();
    }

    /** Returns the names of the classes. */
    public ClassNames classNames() {
        return ClassNames.of(classes);
    }

    /** Returns these settings with the values of the overrides in their place. */
    public PlannerSettings withOverrides(SettingOverrides overrides) {
        Builder builder = toBuilder();
        overrides.zoneCrossingPrice().ifPresent(builder::zoneCrossingPrice);
        overrides.commandPrice().ifPresent(builder::commandPrice);
        overrides.worstClassWeight().ifPresent(builder::worstClassWeight);
        return builder.build();
    }

    private Builder toBuilder() {
        return newBuilder()
                .zones(zones)
                .classes(classes)
                .sharded(sharded)
                .controllerCount(controllerCount)
                .expectedProxies(expectedProxies)
                .channelEntriesPerSecond(channelEntriesPerSecond)
                .channelQueueLimitEntries(channelQueueLimitEntries)
                .messageOverheadEntries(messageOverheadEntries)
                .messageQuota(messageQuota)
                .messageQuotaWindowTicks(messageQuotaWindowTicks)
                .transitTicks(transitTicks)
                .longestTransitTicks(longestTransitTicks)
                .reportPeriodTicks(reportPeriodTicks)
                .defaultRetryMode(defaultRetryMode)
                .admissionMode(admissionMode)
                .idleCloseTicks(idleCloseTicks)
                .drainGraceTicks(drainGraceTicks)
                .noReplicaLimitTicks(noReplicaLimitTicks)
                .initialSlowStartFraction(initialSlowStartFraction)
                .slowStartTicks(slowStartTicks)
                .slowStartOverloadMultiple(slowStartOverloadMultiple)
                .worstClassWeight(worstClassWeight)
                .zoneCrossingPrice(zoneCrossingPrice)
                .commandPrice(commandPrice)
                .loadMetricNames(loadMetricNames)
                .subscribesToDiscovery(subscribesToDiscovery)
                .turnSpacingTicks(turnSpacingTicks);
    }

    /** Builder of {@link PlannerSettings}. Every setting has a default. */
    public static final class Builder {
        private List<String> zones = List.of("");
        private List<ClassSettings> classes = List.of();
        private boolean sharded = false;
        private int controllerCount = 1;
        private int expectedProxies = 0;
        private double channelEntriesPerSecond = Double.MAX_VALUE;
        private double channelQueueLimitEntries = Double.MAX_VALUE;
        private double messageOverheadEntries = 0;
        private double messageQuota = 0;
        private double messageQuotaWindowTicks = 0;
        private double transitTicks = 0;
        private double longestTransitTicks = 0;
        private long reportPeriodTicks = 0;
        private int defaultRetryMode = 0;
        private AdmissionMode admissionMode = AdmissionMode.NONE;
        private double idleCloseTicks = Double.MAX_VALUE;
        private double drainGraceTicks = Double.POSITIVE_INFINITY;
        private double noReplicaLimitTicks = Double.POSITIVE_INFINITY;
        private double initialSlowStartFraction = 0.1;
        private double slowStartTicks = 300_000;
        private double slowStartOverloadMultiple = 1;
        private double worstClassWeight = 0;
        private double zoneCrossingPrice = 0;
        private double commandPrice = 0;
        private Set<String> loadMetricNames = Set.of();
        private boolean subscribesToDiscovery = false;
        private long turnSpacingTicks = 0;

        /** Sets {@link PlannerSettings#zones}; by default one zone without a name. */
        public Builder zones(List<String> value) {
            zones = value;
            return this;
        }

        /** Sets {@link PlannerSettings#classes}. */
        public Builder classes(List<ClassSettings> value) {
            classes = value;
            return this;
        }

        /** Sets {@link PlannerSettings#sharded}. */
        public Builder sharded(boolean value) {
            sharded = value;
            return this;
        }

        /** Sets {@link PlannerSettings#controllerCount}. */
        public Builder controllerCount(int value) {
            controllerCount = value;
            return this;
        }

        /** Sets {@link PlannerSettings#expectedProxies}. */
        public Builder expectedProxies(int value) {
            expectedProxies = value;
            return this;
        }

        /** Sets {@link PlannerSettings#channelEntriesPerSecond}; by default unlimited. */
        public Builder channelEntriesPerSecond(double value) {
            channelEntriesPerSecond = value;
            return this;
        }

        /** Sets {@link PlannerSettings#channelQueueLimitEntries}; by default unlimited. */
        public Builder channelQueueLimitEntries(double value) {
            channelQueueLimitEntries = value;
            return this;
        }

        /** Sets {@link PlannerSettings#messageOverheadEntries}. */
        public Builder messageOverheadEntries(double value) {
            messageOverheadEntries = value;
            return this;
        }

        /** Sets {@link PlannerSettings#messageQuota}. */
        public Builder messageQuota(double value) {
            messageQuota = value;
            return this;
        }

        /** Sets {@link PlannerSettings#messageQuotaWindowTicks}. */
        public Builder messageQuotaWindowTicks(double value) {
            messageQuotaWindowTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#transitTicks}. */
        public Builder transitTicks(double value) {
            transitTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#longestTransitTicks}. */
        public Builder longestTransitTicks(double value) {
            longestTransitTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#reportPeriodTicks}. */
        public Builder reportPeriodTicks(long value) {
            reportPeriodTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#defaultRetryMode}. */
        public Builder defaultRetryMode(int value) {
            defaultRetryMode = value;
            return this;
        }

        /** Sets {@link PlannerSettings#admissionMode}. */
        public Builder admissionMode(AdmissionMode value) {
            admissionMode = value;
            return this;
        }

        /** Sets {@link PlannerSettings#idleCloseTicks}; by default never. */
        public Builder idleCloseTicks(double value) {
            idleCloseTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#noReplicaLimitTicks}; by default infinite. */
        public Builder noReplicaLimitTicks(double value) {
            noReplicaLimitTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#drainGraceTicks}; by default infinite. */
        public Builder drainGraceTicks(double value) {
            drainGraceTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#initialSlowStartFraction}. */
        public Builder initialSlowStartFraction(double value) {
            initialSlowStartFraction = value;
            return this;
        }

        /** Sets {@link PlannerSettings#slowStartTicks}. */
        public Builder slowStartTicks(double value) {
            slowStartTicks = value;
            return this;
        }

        /** Sets {@link PlannerSettings#slowStartOverloadMultiple}. */
        public Builder slowStartOverloadMultiple(double value) {
            slowStartOverloadMultiple = value;
            return this;
        }

        /** Sets {@link PlannerSettings#worstClassWeight}. */
        public Builder worstClassWeight(double value) {
            worstClassWeight = value;
            return this;
        }

        /** Sets {@link PlannerSettings#zoneCrossingPrice}. */
        public Builder zoneCrossingPrice(double value) {
            zoneCrossingPrice = value;
            return this;
        }

        /** Sets {@link PlannerSettings#commandPrice}. */
        public Builder commandPrice(double value) {
            commandPrice = value;
            return this;
        }

        /** Sets {@link PlannerSettings#loadMetricNames}. */
        public Builder loadMetricNames(Set<String> value) {
            loadMetricNames = value;
            return this;
        }

        /** Sets {@link PlannerSettings#subscribesToDiscovery}. */
        public Builder subscribesToDiscovery(boolean value) {
            subscribesToDiscovery = value;
            return this;
        }

        /** Sets {@link PlannerSettings#turnSpacingTicks}. */
        public Builder turnSpacingTicks(long value) {
            turnSpacingTicks = value;
            return this;
        }

        /** Returns the settings with the values set so far. */
        public PlannerSettings build() {
            return new PlannerSettings(
                    zones,
                    classes,
                    sharded,
                    controllerCount,
                    expectedProxies,
                    channelEntriesPerSecond,
                    channelQueueLimitEntries,
                    messageOverheadEntries,
                    messageQuota,
                    messageQuotaWindowTicks,
                    transitTicks,
                    longestTransitTicks,
                    reportPeriodTicks,
                    defaultRetryMode,
                    admissionMode,
                    idleCloseTicks,
                    drainGraceTicks,
                    noReplicaLimitTicks,
                    initialSlowStartFraction,
                    slowStartTicks,
                    slowStartOverloadMultiple,
                    worstClassWeight,
                    zoneCrossingPrice,
                    commandPrice,
                    loadMetricNames,
                    subscribesToDiscovery,
                    turnSpacingTicks);
        }
    }
}
