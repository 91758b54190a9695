package rockshift.simulation;

import java.util.List;
import rockshift.model.Endpoint;
import rockshift.settings.PlannerSettings;

/** An event that the simulator sends to one controller, in the planner's terms and units. */
sealed interface SimulatorEvent {
    /** The controller starts, or restarts without any state. */
    record ControllerStarted(long seed, PlannerSettings settings) implements SimulatorEvent {}

    /** The controller stops. */
    record ControllerStopped() implements SimulatorEvent {}

    /** A call to discovery or a watch of it failed; the known endpoints are kept. */
    record DiscoveryFailed() implements SimulatorEvent {}

    /**
     * Endpoints from discovery.
     *
     * @param changesOnly whether endpoints that are not listed are unchanged; otherwise they are
     *     gone
     */
    record EndpointsListed(List<Endpoint> endpoints, boolean changesOnly)
            implements SimulatorEvent {}

    /**
     * A proxy connected.
     *
     * @param baselineRequestsPerSecond request rate that the proxy usually receives
     * @param orderedTables whether it holds tables that a controller wrote
     */
    record ProxyJoined(
            int proxyId, String zone, double baselineRequestsPerSecond, boolean orderedTables)
            implements SimulatorEvent {}

    /** A proxy's connection broke. */
    record ProxyLeft(int proxyId) implements SimulatorEvent {}

    /**
     * What the proxies of a zone observed at a replica during a period.
     *
     * @param meanLatencyTicks mean latency of the attempts that succeeded
     * @param utilization utilization in the replica's latest load report, from 0 to 1, or null for
     *     none
     */
    record ReplicaReported(
            String zone,
            long replicaId,
            int attempts,
            int failures,
            long meanLatencyTicks,
            long periodTicks,
            Double utilization)
            implements SimulatorEvent {}

    /** Requests of a class that arrived at a proxy in a period, including client retries. */
    record UsageReported(
            int proxyId, String className, int requests, int failures, long periodTicks)
            implements SimulatorEvent {}

    /** A proxy applied all messages up to the one with this serial number. */
    record MessagesAcknowledged(int proxyId, int serial) implements SimulatorEvent {}

    /** A wake-up that the controller requested. */
    record TimerFired() implements SimulatorEvent {}

    /** An event that the planner does not use. */
    record Ignored() implements SimulatorEvent {}
}
