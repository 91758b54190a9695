package rockshift.simulation;

import java.util.List;
import rockshift.model.Endpoint;
import rockshift.settings.PlannerSettings;

/** What the simulator tells one controller, in the planner's terms and units. */
sealed interface SimulatorEvent {
    /** The controller starts, or starts anew without memory. */
    record ControllerStarted(long seed, PlannerSettings settings) implements SimulatorEvent {}

    /** The controller ends. */
    record ControllerStopped() implements SimulatorEvent {}

    /** A call to discovery failed, or its watch broke; the endpoints known before stay. */
    record DiscoveryFailed() implements SimulatorEvent {}

    /**
     * Endpoints from discovery.
     *
     * @param changesOnly whether endpoints that are not named stay as they are, or have gone
     */
    record EndpointsListed(List<Endpoint> endpoints, boolean changesOnly)
            implements SimulatorEvent {}

    /** A proxy connected, which usually receives so many requests a second. */
    record ProxyJoined(int proxyId, String zone, double baselineRequestsPerSecond)
            implements SimulatorEvent {}

    /** A proxy's connection broke. */
    record ProxyLeft(int proxyId) implements SimulatorEvent {}

    /**
     * What the proxies of a zone saw of a replica.
     *
     * @param meanLatencyTicks mean latency of the attempts that succeeded
     * @param utilization the replica's newest load report from 0 to 1, or null for none
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

    /** Requests of a class that arrived at a proxy in a period, client retries among them. */
    record UsageReported(int proxyId, String className, int requests, long periodTicks)
            implements SimulatorEvent {}

    /** A proxy applied all messages up to the one with this serial number. */
    record MessagesAcknowledged(int proxyId, int serial) implements SimulatorEvent {}

    /** A wake-up that the controller asked for. */
    record TimerFired() implements SimulatorEvent {}

    /** An event that the planner has no use for. */
    record Ignored() implements SimulatorEvent {}
}
