package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * What must hold in a simulated world at all times, and once it has healed. The first breaches are
 * kept.
 */
final class DistributionChecker {
    private static final int MOST_BREACHES = 20;
    private final DistributionWorld world;
    private final Limits limits;
    private final List<String> breaches = new ArrayList<>();
    private long claims;
    private long snapshots;
    private long differences;

    DistributionChecker(DistributionWorld world, Limits limits) {
        this.world = world;
        this.limits = limits;
    }

    List<String> breaches() {
        return breaches;
    }

    /** How often a member could say that its latest revision was in force everywhere. */
    long claimsMade() {
        return claims;
    }

    long snapshots() {
        return snapshots;
    }

    long differences() {
        return differences;
    }

    /** A governor shows a revision: none older than before, and exactly what its scope had then. */
    void shown(DistributionWorld.Governor governor, Revision before) {
        Revision shown = governor.shown();
        if (shown.number() < before.number()) {
            breach(governor.host + " went back from " + before + " to " + shown);
        }
        if (!governor.items().equals(world.history.scoped(shown.number(), governor.shownScope()))) {
            breach(
                    governor.host
                            + " shows what was never agreed as "
                            + shown
                            + ": "
                            + governor.items().values());
        }
    }

    /** A governor never takes what it shows for newer than it is. */
    void age(DistributionWorld.Governor governor) {
        if (governor.shown().isNone()) {
            return;
        }
        long told = governor.subscriber().ageMillis(world.now());
        long change =
                world.history.firstChange(
                        governor.shown().number(), world.history.latest(), governor.shownScope());
        if (change >= 0 && told < world.now() - world.history.entry(change).at()) {
            long trueAge = trueAge(governor);
            if (told < trueAge) {
                breach(
                        governor.host
                                + " shows "
                                + governor.shown()
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
    private long trueAge(DistributionWorld.Governor governor) {
        long number = world.history.latest();
        while (!world.history.scoped(number, governor.shownScope()).equals(governor.items())) {
            number--;
        }
        return number == world.history.latest()
                ? 0
                : world.now() - world.history.entry(number + 1).at();
    }

    /** A message was sent downstream: what waits for one reader stays within its bound. */
    void sent(SimulatedNetwork.Link link, DistributionMessage message) {
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
            breach(
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
    void claims() {
        if (!world.members.stream().allMatch(member -> member.host.running())) {
            return;
        }
        Summary summary = summary();
        long number = summary.lowestRevision();
        if (!summary.inForceEverywhere(number, world.roster())) {
            return;
        }
        claims++;
        for (DistributionWorld.Governor governor : world.governors) {
            if (!hasHad(governor, number)) {
                breach(
                        "the members claim "
                                + number
                                + " everywhere, "
                                + governor.host
                                + " had "
                                + governor.mostInForce());
            }
        }
    }

    /**
     * Whether a governor ever had in force what its scope holds at a revision or a later one. It
     * may know it by an earlier number, where its relay learnt of several changes at once that came
     * to nothing in its scope.
     */
    private boolean hasHad(DistributionWorld.Governor governor, long number) {
        long most = governor.mostInForce();
        Scope scope = governor.shownScope();
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
    void converged() {
        long latest = world.history.latest();
        for (DistributionWorld.Governor governor : world.governors) {
            if (governor.shown().number() != latest
                    || !governor.scope().equals(governor.shownScope())) {
                breach(
                        governor.host
                                + " is at "
                                + governor.shown()
                                + " after healing, not at "
                                + latest
                                + ", "
                                + governor.subscriber().rejectionCounts());
            } else if (governor.subscriber().ageMillis(world.now())
                    > limits.timing().staleThresholdMillis()) {
                breach(
                        governor.host
                                + " is not fresh after healing: "
                                + governor.subscriber().ageMillis(world.now()));
            }
        }
    }

    /**
     * Once the world has healed, the members together know the latest to be in force at all
     * governors.
     */
    void inForceEverywhere() {
        if (!summary().inForceEverywhere(world.history.latest(), world.roster())) {
            breach(
                    "the members do not know "
                            + world.history.latest()
                            + " to be in force everywhere: "
                            + summary());
        }
    }

    private void breach(String what) {
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(world + ": " + what);
        }
    }
}
