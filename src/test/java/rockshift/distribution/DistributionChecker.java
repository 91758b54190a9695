package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks the invariants of a simulation, continuously and after all faults have ended. Keeps the
 * first violations.
 */
final class DistributionChecker {
    private static final int MAX_VIOLATIONS = 20;
    private final DistributionSimulation simulation;
    private final Limits limits;
    private final List<String> violations = new ArrayList<>();
    private long checkedReports;
    private long snapshots;
    private long differences;

    DistributionChecker(DistributionSimulation simulation, Limits limits) {
        this.simulation = simulation;
        this.limits = limits;
    }

    List<String> violations() {
        return violations;
    }

    /** Returns how often the members reported a revision as in force everywhere. */
    long checkedReports() {
        return checkedReports;
    }

    long snapshots() {
        return snapshots;
    }

    long differences() {
        return differences;
    }

    /**
     * Checks that a controller's revision does not decrease and that its state is exactly that of
     * its scope at that revision.
     */
    void checkState(SimulatedController controller, Revision before) {
        Revision current = controller.revision();
        if (current.number() < before.number()) {
            addViolation(
                    controller.host
                            + " changed from "
                            + before
                            + " to the older revision "
                            + current);
        }
        if (!controller
                .items()
                .equals(simulation.history.scoped(current.number(), controller.revisionScope()))) {
            addViolation(
                    controller.host
                            + " holds a state that was never agreed as "
                            + current
                            + ": "
                            + controller.items().values());
        }
    }

    /** Checks that a controller does not report its state as newer than it is. */
    void checkAge(SimulatedController controller) {
        if (controller.revision().isNone()) {
            return;
        }
        long reportedAge = controller.subscriber().ageMillis(simulation.now());
        long change =
                simulation.history.firstChange(
                        controller.revision().number(),
                        simulation.history.latest(),
                        controller.revisionScope());
        if (change >= 0 && reportedAge < simulation.now() - simulation.history.entry(change).at()) {
            long actualAge = actualAge(controller);
            if (reportedAge < actualAge) {
                addViolation(
                        controller.host
                                + " reports "
                                + controller.revision()
                                + " as "
                                + reportedAge
                                + " ms old, actual age is "
                                + actualAge
                                + " ms");
            }
        }
    }

    /**
     * Returns for how long the state of a controller has not been current. Changes that have been
     * reverted since do not count.
     */
    private long actualAge(SimulatedController controller) {
        long number = simulation.history.latest();
        while (!simulation
                .history
                .scoped(number, controller.revisionScope())
                .equals(controller.items())) {
            number--;
        }
        return number == simulation.history.latest()
                ? 0
                : simulation.now() - simulation.history.entry(number + 1).at();
    }

    /** Checks that the number of unread messages on a connection stays within its limit. */
    void checkSent(SimulatedNetwork.Link link, DistributionMessage message) {
        if (message instanceof DistributionMessage.SnapshotPart part && part.part() == 0) {
            snapshots++;
        } else if (message instanceof DistributionMessage.Difference) {
            differences++;
        }
        Limits.Timing timing = limits.timing();
        long heartbeats = timing.silenceTimeoutMillis() / timing.heartbeatIntervalMillis() + 2;
        Limits.Admission admission = limits.admission();
        long scopeChanges = 2L * admission.maxUnacknowledgedDifferences() + 1;
        long maxUnread =
                admission.maxUnacknowledgedDifferences()
                        + admission.maxUnacknowledgedParts()
                        + heartbeats
                        + scopeChanges;
        if (link.unreadByClient() > maxUnread) {
            addViolation(
                    link.unreadByClient()
                            + " unread messages for "
                            + link.client
                            + ", maximum is "
                            + maxUnread);
        }
    }

    /**
     * Checks that a revision that the members together report as in force everywhere is in force at
     * every controller.
     */
    void checkReportedInForce() {
        if (!simulation.members.stream().allMatch(member -> member.host.running())) {
            return;
        }
        Summary summary = summary();
        long number = summary.lowestRevision();
        if (!summary.inForceEverywhere(number, simulation.roster())) {
            return;
        }
        checkedReports++;
        for (SimulatedController controller : simulation.controllers) {
            if (!hadInForce(controller, number)) {
                addViolation(
                        "the members report "
                                + number
                                + " as in force everywhere, but the highest ever in force at "
                                + controller.host
                                + " is "
                                + controller.highestInForce());
            }
        }
    }

    /**
     * Returns whether a controller ever had in force the state of its scope at a revision or a
     * later one. The controller may know that state by an earlier number, if its relay received
     * several changes at once whose net effect on the scope was none.
     */
    private boolean hadInForce(SimulatedController controller, long number) {
        long highest = controller.highestInForce();
        Scope scope = controller.revisionScope();
        if (highest >= number
                || highest >= 0 && simulation.history.firstChange(highest, number, scope) < 0) {
            return true;
        }
        for (long later = number; highest >= 0 && later <= simulation.history.latest(); later++) {
            if (simulation
                    .history
                    .scoped(later, scope)
                    .equals(simulation.history.scoped(highest, scope))) {
                return true;
            }
        }
        return false;
    }

    private Summary summary() {
        return simulation.members.stream()
                .map(member -> member.publisher().summary())
                .reduce(Summary::plus)
                .orElseThrow();
    }

    /**
     * Checks, after all faults have ended, that each controller is at the latest revision and knows
     * its state to be fresh.
     */
    void checkConverged() {
        long latest = simulation.history.latest();
        for (SimulatedController controller : simulation.controllers) {
            if (controller.revision().number() != latest
                    || !controller.scope().equals(controller.revisionScope())) {
                addViolation(
                        controller.host
                                + " is at "
                                + controller.revision()
                                + " after recovery, expected "
                                + latest
                                + ", "
                                + controller.subscriber().rejectionCounts());
            } else if (controller.subscriber().ageMillis(simulation.now())
                    > limits.timing().staleThresholdMillis()) {
                addViolation(
                        controller.host
                                + " is stale after recovery, age in ms: "
                                + controller.subscriber().ageMillis(simulation.now()));
            }
        }
    }

    /**
     * Checks, after all faults have ended, that the members together report the latest revision as
     * in force at all controllers.
     */
    void checkInForceEverywhere() {
        if (!summary().inForceEverywhere(simulation.history.latest(), simulation.roster())) {
            addViolation(
                    "the members do not report "
                            + simulation.history.latest()
                            + " as in force everywhere: "
                            + summary());
        }
    }

    private void addViolation(String text) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(simulation + ": " + text);
        }
    }
}
