package rockshift.server;

import java.util.Map;
import rockshift.model.ControlScope;
import rockshift.planner.Planner;
import rockshift.settings.SettingOverrides;

/**
 * An input of the planner. Socket threads create events and queue them on the {@link EventLoop};
 * its thread applies them in the order of the queue.
 */
sealed interface PlannerEvent {
    /** Passes the input to the planner. Called once, on the event loop's thread. */
    void apply(long nowTicks, Planner planner, PublishedTables tables);

    /** A proxy has joined on a connection, which replaces its previous one. */
    record ProxyJoined(ProxyJoin join, ProxyChannel channel) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.proxyJoined(join.proxyNumber(), channel);
            planner.proxyJoined(
                    nowTicks,
                    join.proxyNumber(),
                    join.zone(),
                    join.requestsPerSecond(),
                    join.orderedTables());
        }
    }

    /**
     * A proxy's connection has ended. Ignored if the proxy has joined on another connection
     * meanwhile.
     */
    record ProxyLeft(int proxyNumber, ProxyChannel channel) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            if (tables.isCurrent(proxyNumber, channel)) {
                tables.proxyLeft(proxyNumber);
                planner.proxyLeft(nowTicks, proxyNumber);
            }
        }
    }

    /**
     * A proxy has applied its messages. Ignored unless it comes from the proxy's current
     * connection.
     */
    record Acknowledged(ProxyAcknowledgement acknowledgement, ProxyChannel channel)
            implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            if (tables.isCurrent(acknowledgement.proxyNumber(), channel)) {
                planner.proxyAcknowledged(
                        nowTicks, acknowledgement.proxyNumber(), acknowledgement.serial());
            }
        }
    }

    /** A collector has sent what proxies observed at a replica. */
    record LoadReported(LoadReport report) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            planner.recordLoadReport(
                    nowTicks,
                    report.zone(),
                    report.replicaId(),
                    report.attempts(),
                    report.failures(),
                    report.meanResponseTicks(),
                    report.windowTicks(),
                    report.utilization());
        }
    }

    /** The requests of a proxy have been reported. */
    record UsageReported(UsageReport report) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            planner.recordUsage(
                    nowTicks,
                    report.proxyNumber(),
                    report.className(),
                    report.arrivals(),
                    report.failures(),
                    report.windowTicks());
        }
    }

    /** A list of replicas has come from discovery: the whole list or its changes. */
    record EndpointsListed(EndpointList list) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.endpointsListed(list.entries(), !list.whole(), list.names());
            planner.updateEndpoints(nowTicks, list.entries(), !list.whole());
        }
    }

    /**
     * All agreed changes of the operators that are in force.
     *
     * @param drains the latest start time of a replica that is drained, in ticks, by replica id
     * @param onApplied run on the event loop's thread once the planner has applied the changes
     */
    record AgreedChanges(
            long version, Map<Long, Long> drains, SettingOverrides overrides, Runnable onApplied)
            implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.agreedChangesReceived();
            planner.applyAgreedChanges(nowTicks, version, drains, overrides);
            onApplied.run();
        }
    }

    /** It has changed whether the agreed changes received so far are up to date. */
    record AgreedStateKnown(boolean known) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.agreedChangesReceived();
            planner.setAgreedStateKnown(nowTicks, known);
        }
    }

    /** The extent to which the planner may change tables has changed. */
    record ControlScopeChanged(ControlScope scope) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            planner.setControlScope(nowTicks, scope);
        }
    }
}
