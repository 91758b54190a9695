package rockshift.planner;

import static rockshift.planner.FakeController.SEARCH;
import static rockshift.planner.FakeController.SECOND;
import static rockshift.planner.TestEndpoints.draining;
import static rockshift.planner.TestEndpoints.startedAt;
import static rockshift.planner.TestEndpoints.zoneOf;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.LongStream;
import rockshift.model.Endpoint;
import rockshift.settings.AdmissionMode;
import rockshift.settings.PlannerSettings;

/**
 * Fleet with several controllers, simulated in steps of half a second: a release replaces six of
 * ten replicas, and controller 0 fails during it. Counts the requests that each replica is sent,
 * and records each violation of a rule.
 */
final class SimulatedFleet {
    private static final int CONTROLLERS = 3;
    private static final int PROXIES = 24;
    private static final int REPLICAS = 10;

    private static final double REQUESTS_PER_SECOND_OF_PROXY = 7;

    /**
     * Requests per second that a started replica can serve; the utilization of the fleet is 0.7.
     */
    private static final double CAPACITY_PER_SECOND = 24;

    private static final double INITIAL_SLOW_START_FRACTION = 0.2;
    private static final double OVERLOAD_MULTIPLE = 1.5;
    private static final int SLOW_START_SECONDS = 10;
    private static final int DRAIN_GRACE_SECONDS = 3;
    private static final int QUEUE_LIMIT_ENTRIES = 100;

    private static final int STEPS_PER_SECOND = 2;
    private static final int TOTAL_STEPS = 80;
    private static final int REPORT_PERIOD_STEPS = 4;

    /** Number of steps over which an overload makes a slow-starting replica fail. */
    private static final int OVERLOAD_WINDOW_STEPS = 4;

    private static final int RELEASE_START_STEP = 20;
    private static final int RELEASE_END_STEP = 32;
    private static final int CONTROLLER_FAILURE_STEP = 28;

    /** Difference between the numbers of a successor and its predecessor. */
    private static final long SUCCESSOR_OFFSET = 100;

    /** Rule that was violated. */
    enum Violation {
        SLOW_STARTING_REPLICA_OVERLOADED,
        DRAINING_REPLICA_USED,
        PROXY_WITHOUT_TABLES,
        QUEUE_LIMIT_EXCEEDED
    }

    /** Fault that is injected to test its detection, and the violation that it must cause. */
    enum InjectedFault {
        NONE(null),
        SLOW_START_DISABLED(Violation.SLOW_STARTING_REPLICA_OVERLOADED),
        DRAIN_IGNORED(Violation.DRAINING_REPLICA_USED),
        QUEUE_LIMIT_DISABLED(Violation.QUEUE_LIMIT_EXCEEDED);

        private final Violation violation;

        InjectedFault(Violation violation) {
            this.violation = violation;
        }

        Violation violation() {
            return violation;
        }
    }

    private final Random random;
    private final InjectedFault fault;
    private final EnumSet<Violation> violations = EnumSet.noneOf(Violation.class);
    private final List<FakeController> controllers = new ArrayList<>();

    /**
     * By proxy, its controller, the step in which it joined, and the requests that no report covers
     * yet.
     */
    private final int[] controllerOf = new int[PROXIES];

    private final int[] joinedAtStep = new int[PROXIES];
    private final double[] unreportedRequests = new double[PROXIES];

    /** By controller, the step up to which it has learned of changes from discovery. */
    private final int[] discoveredUpToStep = new int[CONTROLLERS];

    /** By successor, the step in which it started. */
    private final Map<Long, Integer> startedAtStep = new HashMap<>();

    /** By replica, the requests that it was sent in each step. */
    private final Map<Long, double[]> requestsByStep = new TreeMap<>();

    /** By controller and replica, the step in which the controller learned of a drain. */
    private final Map<Integer, Map<Long, Integer>> drainKnownAtStep = new HashMap<>();

    /** By controller and replica, the attempts that no report covers yet. */
    private final Map<Integer, Map<Long, Double>> unreportedAttempts = new HashMap<>();

    /** By step, the delayed changes and reports that reach a controller then. */
    private final TreeMap<Integer, List<Runnable>> deliveries = new TreeMap<>();

    SimulatedFleet(int seed, InjectedFault fault) {
        random = new Random(seed);
        this.fault = fault;
        for (int id = 0; id < CONTROLLERS; id++) {
            FakeController controller = FakeController.with(this::configure);
            controller.listEndpoints(
                    LongStream.rangeClosed(1, REPLICAS).mapToObj(TestEndpoints::ready).toList());
            controllers.add(controller);
            drainKnownAtStep.put(id, new HashMap<>());
            unreportedAttempts.put(id, new TreeMap<>());
        }
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            join(proxy, proxy % CONTROLLERS, 0);
        }
    }

    private void configure(PlannerSettings.Builder settings) {
        boolean slowStartDisabled = fault == InjectedFault.SLOW_START_DISABLED;
        boolean limitsQueue = fault != InjectedFault.QUEUE_LIMIT_DISABLED;
        settings.admissionMode(AdmissionMode.NONE)
                .initialSlowStartFraction(INITIAL_SLOW_START_FRACTION)
                .reportPeriodTicks(2 * SECOND)
                .slowStartTicks(slowStartDisabled ? 1 : SLOW_START_SECONDS * SECOND)
                .slowStartOverloadMultiple(OVERLOAD_MULTIPLE)
                .channelEntriesPerSecond(1_000)
                .controllerCount(CONTROLLERS)
                .channelQueueLimitEntries(
                        limitsQueue ? QUEUE_LIMIT_ENTRIES : 100 * QUEUE_LIMIT_ENTRIES);
    }

    private void join(int proxy, int controller, int step) {
        controllerOf[proxy] = controller;
        joinedAtStep[proxy] = step;
        controllers.get(controller).rejoinProxy(proxy, zoneOf(proxy), REQUESTS_PER_SECOND_OF_PROXY);
    }

    /** The rules that were violated. */
    Set<Violation> violations() {
        return violations;
    }

    /** The replicas that were sent requests. */
    Set<Long> usedReplicas() {
        return requestsByStep.keySet();
    }

    SimulatedFleet run() {
        for (int step = 0; step < TOTAL_STEPS; step++) {
            if (step >= RELEASE_START_STEP && step < RELEASE_END_STEP && step % 2 == 0) {
                replaceReplica(step);
            }
            if (step == CONTROLLER_FAILURE_STEP) {
                failFirstController(step);
            }
            deliveries.getOrDefault(step, List.of()).forEach(Runnable::run);
            int firstRunning = step < CONTROLLER_FAILURE_STEP ? 0 : 1;
            for (int id = firstRunning; id < CONTROLLERS; id++) {
                runController(id, step);
            }
            checkSlowStartingReplicas(step);
        }
        return this;
    }

    private void replaceReplica(int step) {
        long replaced = (step - RELEASE_START_STEP) / 2 + 1;
        long successor = SUCCESSOR_OFFSET + replaced;
        startedAtStep.put(successor, step);
        announce(step, startedAt(successor, controllers.get(1).nowTicks()));
        announce(step, draining(replaced));
    }

    /**
     * Delivers a change to each controller after a delay, in the order of the changes, and to some
     * twice.
     */
    private void announce(int step, Endpoint change) {
        for (int id = 0; id < CONTROLLERS; id++) {
            int controllerId = id;
            int at = Math.max(discoveredUpToStep[id], step + random.nextInt(5));
            discoveredUpToStep[id] = at;
            int copies = random.nextInt(4) == 0 ? 2 : 1;
            for (int copy = copies; copy > 0; copy--) {
                deliverAt(at + copy - 1, () -> deliverChange(controllerId, change, at));
            }
        }
    }

    private void deliverAt(int step, Runnable delivery) {
        deliveries.computeIfAbsent(step, added -> new ArrayList<>()).add(delivery);
    }

    private void deliverChange(int controllerId, Endpoint change, int step) {
        boolean drains = change.health() != Endpoint.Health.READY;
        if (drains) {
            drainKnownAtStep.get(controllerId).putIfAbsent(change.replicaId(), step);
        }
        boolean ignored = fault == InjectedFault.DRAIN_IGNORED && controllerId == 1 && drains;
        if (!ignored) {
            controllers.get(controllerId).changeEndpoints(change);
        }
    }

    private void failFirstController(int step) {
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            if (controllerOf[proxy] == 0) {
                join(proxy, 1 + random.nextInt(CONTROLLERS - 1), step);
            }
        }
    }

    private void runController(int controllerId, int step) {
        FakeController controller = controllers.get(controllerId);
        controller.runTurn();
        controller.runFor(1.0 / STEPS_PER_SECOND);
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            if (controllerOf[proxy] == controllerId) {
                runProxy(proxy, step);
            }
        }
        if ((step + controllerId) % REPORT_PERIOD_STEPS == 0) {
            report(controllerId, step);
        }
        if (controller.channel().longestQueueEntries() > QUEUE_LIMIT_ENTRIES) {
            violations.add(Violation.QUEUE_LIMIT_EXCEEDED);
        }
    }

    private void runProxy(int proxy, int step) {
        FakeController controller = controllers.get(controllerOf[proxy]);
        if (!controller.boundProxies().contains(proxy)) {
            if (step - joinedAtStep[proxy] > STEPS_PER_SECOND * DRAIN_GRACE_SECONDS) {
                violations.add(Violation.PROXY_WITHOUT_TABLES);
            }
            return;
        }
        double requests = REQUESTS_PER_SECOND_OF_PROXY / STEPS_PER_SECOND;
        unreportedRequests[proxy] += requests;
        TreeMap<Long, Double> table = controller.tableOf(proxy);
        double sum = table.values().stream().mapToDouble(weight -> weight).sum();
        table.forEach(
                (replica, weight) ->
                        send(controllerOf[proxy], replica, requests * weight / sum, step));
    }

    private void send(int controllerId, long replica, double requests, int step) {
        requestsByStep.computeIfAbsent(replica, added -> new double[TOTAL_STEPS])[step] += requests;
        unreportedAttempts.get(controllerId).merge(replica, requests, Double::sum);
        int drainKnown = drainKnownAtStep.get(controllerId).getOrDefault(replica, TOTAL_STEPS);
        if (step - drainKnown > STEPS_PER_SECOND * DRAIN_GRACE_SECONDS) {
            violations.add(Violation.DRAINING_REPLICA_USED);
        }
    }

    private double capacityPerSecond(long replica, int step) {
        int startStep = startedAtStep.getOrDefault(replica, -TOTAL_STEPS);
        double age = (step - startStep) / (double) STEPS_PER_SECOND;
        double growth = (1 - INITIAL_SLOW_START_FRACTION) * age / SLOW_START_SECONDS;
        return CAPACITY_PER_SECOND * Math.min(1, INITIAL_SLOW_START_FRACTION + growth);
    }

    /** Delivers the reports of a controller's proxies about a period one second later. */
    private void report(int controllerId, int step) {
        FakeController controller = controllers.get(controllerId);
        Map<Long, Double> attempts = unreportedAttempts.put(controllerId, new TreeMap<>());
        Map<Integer, Integer> requests = new TreeMap<>();
        for (int proxy = 0; proxy < PROXIES; proxy++) {
            if (controllerOf[proxy] == controllerId) {
                requests.put(proxy, (int) unreportedRequests[proxy]);
                unreportedRequests[proxy] -= (int) unreportedRequests[proxy];
            }
        }
        long periodTicks = REPORT_PERIOD_STEPS * SECOND / STEPS_PER_SECOND;
        deliverAt(
                step + STEPS_PER_SECOND,
                () -> {
                    attempts.forEach(
                            (replica, count) -> {
                                int rounded = (int) Math.round(count);
                                double utilization = utilization(replica, step);
                                controller.reportReplica(
                                        zoneOf(replica),
                                        ReplicaReport.healthy(replica, rounded, utilization),
                                        periodTicks);
                            });
                    requests.forEach(
                            (proxy, count) ->
                                    controller.reportUsage(proxy, SEARCH, count, periodTicks));
                });
    }

    private double utilization(long replica, int step) {
        double requestsPerSecond = STEPS_PER_SECOND * requestsByStep.get(replica)[step];
        return Math.min(1, requestsPerSecond / capacityPerSecond(replica, step));
    }

    /**
     * Checks that no slow-starting replica is sent more than makes it fail, counted over all
     * controllers.
     */
    private void checkSlowStartingReplicas(int step) {
        startedAtStep.forEach(
                (replica, startStep) -> {
                    double requests = 0;
                    double overloadLimit = 0;
                    int windowStart = Math.max(0, step - OVERLOAD_WINDOW_STEPS + 1);
                    for (int i = windowStart; i <= step; i++) {
                        requests +=
                                requestsByStep.getOrDefault(replica, new double[TOTAL_STEPS])[i];
                        overloadLimit +=
                                OVERLOAD_MULTIPLE
                                        * capacityPerSecond(replica, Math.max(startStep, i))
                                        / STEPS_PER_SECOND;
                    }
                    if (requests > overloadLimit) {
                        violations.add(Violation.SLOW_STARTING_REPLICA_OVERLOADED);
                    }
                });
    }
}
