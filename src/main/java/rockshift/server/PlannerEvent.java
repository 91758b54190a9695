package rockshift.server;

import java.util.Map;
import rockshift.model.ControlScope;
import rockshift.planner.Planner;
import rockshift.settings.SettingOverrides;

/**
 * One input of the planner. Socket threads create events and queue them on the {@link EventLoop};
 * its thread applies them in the order of the queue.
 */
sealed interface PlannerEvent {
    /** Hands the input to the planner. Called once, by the event loop's thread. */
    void apply(long nowTicks, Planner planner, PublishedTables tables);

    /** A proxy has joined on a connection, which takes the place of its previous one. */
    record ProxyJoined(ProxyJoin join, ProxyChannel channel) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.proxyJoined(join.proxyNumber(), channel);
            planner.proxyJoined(
                    nowTicks, join.proxyNumber(), join.zone(), join.requestsPerSecond());
        }
    }

    /**
     * A proxy's connection has ended. Where the proxy has joined on another one meanwhile, it is
     * still there and nothing changes.
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

    /** A proxy has applied its messages; only its current connection's word counts. */
    record Acknowledged(Applied applied, ProxyChannel channel) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            if (tables.isCurrent(applied.proxyNumber(), channel)) {
                planner.proxyAcknowledged(nowTicks, applied.proxyNumber(), applied.serial());
            }
        }
    }

    /** A collector has passed on what proxies observed at a replica. */
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

    /** A proxy has counted its requests. */
    record UsageReported(UsageReport report) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            planner.recordUsage(
                    nowTicks,
                    report.proxyNumber(),
                    report.className(),
                    report.arrivals(),
                    report.windowTicks());
        }
    }

    /** Discovery's list of replicas has come, whole or what changed of it. */
    record EndpointsListed(EndpointList list) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            tables.endpointsListed(list.entries(), !list.whole(), list.names());
            planner.updateEndpoints(nowTicks, list.entries(), !list.whole());
        }
    }

    /**
     * The operators' agreed changes, all that are in force.
     *
     * @param drains by replica id, the latest start (in ticks) that is drained
     * @param onApplied run by the event loop's thread once the planner goes by the changes
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

    /** How far the planner may change tables has changed. */
    record ControlScopeChanged(ControlScope scope) implements PlannerEvent {
        @Override
        public void apply(long nowTicks, Planner planner, PublishedTables tables) {
            planner.setControlScope(nowTicks, scope);
        }
    }
}
