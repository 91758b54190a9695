package rockshift.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import rockshift.model.ClassSet;
import rockshift.planner.Planner;
import rockshift.planner.ProxyCommands;
import rockshift.simulation.SimulatorEvent.ControllerStarted;
import rockshift.simulation.SimulatorEvent.DiscoveryFailed;
import rockshift.simulation.SimulatorEvent.EndpointsListed;
import rockshift.simulation.SimulatorEvent.Ignored;
import rockshift.simulation.SimulatorEvent.MessagesAcknowledged;
import rockshift.simulation.SimulatorEvent.ProxyJoined;
import rockshift.simulation.SimulatorEvent.ProxyLeft;
import rockshift.simulation.SimulatorEvent.ReplicaReported;
import rockshift.simulation.SimulatorEvent.TimerFired;
import rockshift.simulation.SimulatorEvent.UsageReported;

/**
 * One controller in the simulator. Passes its events to its {@link Planner} and writes the
 * planner's commands into the reply. Used only by the adapter's thread.
 */
final class SimulatedController {
    private final int controllerId;
    private final Planner planner;

    /** The proxies that have been notified that a replica drains, by replica id. */
    private final Map<Long, Set<Integer>> notifiedProxies = new HashMap<>();

    SimulatedController(int controllerId, ControllerStarted start, long nowTicks) {
        this.controllerId = controllerId;
        this.planner = new Planner(nowTicks, start.seed(), start.settings());
    }

    /** Passes an event to the planner, which acts on it in the next call of {@link #decide}. */
    void handle(SimulatorEvent event, long nowTicks, SimulatorReply reply) {
        if (event instanceof EndpointsListed listed) {
            planner.updateEndpoints(nowTicks, listed.endpoints(), listed.changesOnly());
        } else if (event instanceof DiscoveryFailed) {
            reply.subscribeToDiscovery(controllerId);
        } else if (event instanceof ProxyJoined joined) {
            planner.proxyJoined(
                    nowTicks,
                    joined.proxyId(),
                    joined.zone(),
                    joined.baselineRequestsPerSecond(),
                    joined.orderedTables());
        } else if (event instanceof ProxyLeft left) {
            planner.proxyLeft(nowTicks, left.proxyId());
            notifiedProxies.values().forEach(proxies -> proxies.remove(left.proxyId()));
        } else if (event instanceof ReplicaReported report) {
            recordLoadReport(report, nowTicks);
        } else if (event instanceof UsageReported usage) {
            planner.recordUsage(
                    nowTicks,
                    usage.proxyId(),
                    usage.className(),
                    usage.requests(),
                    usage.failures(),
                    usage.periodTicks());
        } else if (event instanceof MessagesAcknowledged acknowledged) {
            planner.proxyAcknowledged(nowTicks, acknowledged.proxyId(), acknowledged.serial());
        } else if (event instanceof TimerFired) {
            planner.timerFired(nowTicks);
        } else if (!(event instanceof Ignored)) {
            throw new IllegalArgumentException(
                    "unexpected event for a running controller: " + event);
        }
    }

    private void recordLoadReport(ReplicaReported report, long nowTicks) {
        planner.recordLoadReport(
                nowTicks,
                report.zone(),
                report.replicaId(),
                report.attempts(),
                report.failures(),
                report.meanLatencyTicks(),
                report.periodTicks(),
                report.utilization());
    }

    /** Writes the planner's commands into the reply until there are none left. */
    void decide(SimulatorReply reply) {
        ProxyCommands commands = new ReplyCommands(reply);
        boolean more = true;
        while (more) {
            more = planner.decideNext(commands);
        }
    }

    /** Writes the planner's commands into a reply. */
    private final class ReplyCommands implements ProxyCommands {
        private final SimulatorReply reply;

        /**
         * Replicas whose drain state is in this reply already; one line reaches all joined proxies.
         */
        private final Set<Long> announcedReplicas = new HashSet<>();

        ReplyCommands(SimulatorReply reply) {
            this.reply = reply;
        }

        @Override
        public int setTableEntry(int table, long replicaId, double weight) {
            reply.setTableEntry(controllerId, table, replicaId, weight);
            return 1;
        }

        @Override
        public int notifyDraining(long replicaId, boolean draining, int proxyId) {
            Set<Integer> notified =
                    notifiedProxies.computeIfAbsent(replicaId, added -> new HashSet<>());
            boolean changes = draining ? notified.add(proxyId) : notified.remove(proxyId);
            if (changes && announcedReplicas.add(replicaId)) {
                reply.setDraining(controllerId, replicaId, draining);
            }
            return changes ? 1 : 0;
        }

        @Override
        public int bindProxy(int table, int proxyId, ClassSet classes) {
            reply.bindProxy(controllerId, table, proxyId, classes);
            return 0;
        }

        @Override
        public void setAdmissionLevel(int table, ClassSet classes, double level, int retryMode) {
            reply.setAdmissionLevel(controllerId, table, classes, level, retryMode);
        }

        @Override
        public void requestAcknowledgement(int serial) {
            reply.requestAcknowledgement(controllerId, serial);
        }

        @Override
        public void wakeAfter(long delayTicks) {
            reply.wakeAfter(controllerId, delayTicks);
        }

        @Override
        public void forgetReplica(long replicaId) {
            // The simulator identifies replicas by its own numbers, so there is nothing to forget.
        }

        @Override
        public void log(String line) {
            reply.log(controllerId, line);
        }
    }
}
