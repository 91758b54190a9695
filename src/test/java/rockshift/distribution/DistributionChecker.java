package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * What must hold in a simulated world at all times, and once it has healed. The first breaches are
 * kept.
 */
final class DistributionChecker {
    private static final int MAX_VIOLATIONS = 20;
    private final DistributionWorld world;
    private final Limits limits;
    private final List<String> violations = new ArrayList<>();
    private long checkClaims;
    private long snapshots;
    private long differences;

    DistributionChecker(DistributionWorld world, Limits limits) {
        this.world = world;
        this.limits = limits;
    }

    List<String> violations() {
        return violations;
    }

    /** How often a member could say that its latest revision was in force everywhere. */
    long claimsMade() {
        return checkClaims;
    }

    long snapshots() {
        return snapshots;
    }

    long differences() {
        return differences;
    }

    /**
     * A controller shows a revision: none older than before, and exactly what its scope had then.
     */
    void checkState(SimulatedController controller, Revision before) {
        Revision shown = controller.revision();
        if (shown.number() < before.number()) {
            violation(controller.host + " went back from " + before + " to " + shown);
        }
        if (!controller
                .items()
                .equals(world.history.scoped(shown.number(), controller.revisionScope()))) {
            violation(
                    controller.host
                            + " shows what was never agreed as "
                            + shown
                            + ": "
                            + controller.items().values());
        }
    }

    /** A controller never takes what it shows for newer than it is. */
    void checkAge(SimulatedController controller) {
        if (controller.revision().isNone()) {
            return;
        }
        long told = controller.subscriber().ageMillis(world.now());
        long change =
                world.history.firstChange(
                        controller.revision().number(),
                        world.history.latest(),
                        controller.revisionScope());
        if (change >= 0 && told < world.now() - world.history.entry(change).at()) {
            long trueAge = trueAge(controller);
            if (told < trueAge) {
                violation(
                        controller.host
                                + " shows "
                                + controller.revision()
                                + " as "
                                + told
                                + " ms old, it is "
                                + trueAge);
            }
        }
    }

    /**
     * Since when what is shown has not been the newest; changes that were undone meanwhile do not
     * count.
     */
    private long trueAge(SimulatedController controller) {
        long number = world.history.latest();
        while (!world.history
                .scoped(number, controller.revisionScope())
                .equals(controller.items())) {
            number--;
        }
        return number == world.history.latest()
                ? 0
                : world.now() - world.history.entry(number + 1).at();
    }

    /** A message was sent downstream: what waits for one reader stays within its bound. */
    void checkSent(SimulatedNetwork.Link link, DistributionMessage message) {
        if (message instanceof DistributionMessage.SnapshotPart part && part.part() == 0) {
            snapshots++;
        } else if (message instanceof DistributionMessage.Difference) {
            differences++;
        }
        Limits.Timing timing = limits.timing();
        long heartbeats = timing.silenceTimeoutMillis() / timing.heartbeatIntervalMillis() + 2;
        Limits.Admission admission = limits.admission();
        long scopes = 2L * admission.maxUnacknowledgedDifferences() + 1;
        long bound =
                admission.maxUnacknowledgedDifferences()
                        + admission.maxUnacknowledgedParts()
                        + heartbeats
                        + scopes;
        if (link.waitingDown() > bound) {
            violation(
                    link.waitingDown()
                            + " messages wait for "
                            + link.client
                            + ", the bound is "
                            + bound);
        }
    }

    /**
     * The members together may say that a revision is in force everywhere only where that is so.
     */
    void checkClaims() {
        if (!world.members.stream().allMatch(member -> member.host.running())) {
            return;
        }
        Summary summary = summary();
        long number = summary.lowestRevision();
        if (!summary.inForceEverywhere(number, world.roster())) {
            return;
        }
        checkClaims++;
        for (SimulatedController controller : world.controllers) {
            if (!hasHad(controller, number)) {
                violation(
                        "the members claim "
                                + number
                                + " everywhere, "
                                + controller.host
                                + " had "
                                + controller.highestInForce());
            }
        }
    }

    /**
     * Whether a controller ever had in force what its scope holds at a revision or a later one. It
     * may know it by an earlier number, where its relay learnt of several changes at once that came
     * to nothing in its scope.
     */
    private boolean hasHad(SimulatedController controller, long number) {
        long most = controller.highestInForce();
        Scope scope = controller.revisionScope();
        if (most >= number || most >= 0 && world.history.firstChange(most, number, scope) < 0) {
            return true;
        }
        for (long later = number; most >= 0 && later <= world.history.latest(); later++) {
            if (world.history.scoped(later, scope).equals(world.history.scoped(most, scope))) {
                return true;
            }
        }
        return false;
    }

    private Summary summary() {
        return world.members.stream()
                .map(member -> member.publisher().summary())
                .reduce(Summary::plus)
                .orElseThrow();
    }

    /** Once the world has healed, all have the latest, and know it to be fresh. */
    void checkConverged() {
        long latest = world.history.latest();
        for (SimulatedController controller : world.controllers) {
            if (controller.revision().number() != latest
                    || !controller.scope().equals(controller.revisionScope())) {
                violation(
                        controller.host
                                + " is at "
                                + controller.revision()
                                + " after healing, not at "
                                + latest
                                + ", "
                                + controller.subscriber().rejectionCounts());
            } else if (controller.subscriber().ageMillis(world.now())
                    > limits.timing().staleThresholdMillis()) {
                violation(
                        controller.host
                                + " is not fresh after healing: "
                                + controller.subscriber().ageMillis(world.now()));
            }
        }
    }

    /**
     * Once the world has healed, the members together know the latest to be in force at all
     * controllers.
     */
    void checkInForceEverywhere() {
        if (!summary().inForceEverywhere(world.history.latest(), world.roster())) {
            violation(
                    "the members do not know "
                            + world.history.latest()
                            + " to be in force everywhere: "
                            + summary());
        }
    }

    private void violation(String what) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(world + ": " + what);
        }
    }
}
