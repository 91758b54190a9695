package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Faults planted into simulated worlds, each of which the checker must find; else it would prove
 * nothing.
 */
class CheckerFindsPlantedFaultsTest {
    private static final int SEEDS = 20;
    private static final Limits LIMITS = DistributionWorldTest.limits();

    @Test
    void updateLostInTransitIsFound() {
        assertFound(
                "after healing",
                world ->
                        world.network.interceptWith(
                                (from, to, message) -> {
                                    if (to.name.equals("g0")
                                            && message
                                                    instanceof
                                                    DistributionMessage.Difference difference
                                            && !difference.updates().isEmpty()) {
                                        return new DistributionMessage.Difference(
                                                difference.scopeEpoch(),
                                                difference.from(),
                                                difference.to(),
                                                difference.digest(),
                                                difference
                                                        .updates()
                                                        .subList(1, difference.updates().size()));
                                    }
                                    return message instanceof DistributionMessage.SnapshotPart part
                                                    && to.name.equals("g0")
                                            ? withoutFirst(part)
                                            : message;
                                }));
    }

    @Test
    void updateLostByTheHostIsFound() {
        assertFound(
                "never agreed",
                world ->
                        world.stateApplier(
                                new FaithfulApplier() {
                                    @Override
                                    public void difference(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Update> updates) {
                                        boolean drops = controller == world.controllers.get(0);
                                        controller.takeDifference(
                                                revision,
                                                drops
                                                        ? updates.subList(1, updates.size())
                                                        : updates);
                                    }
                                }));
    }

    @Test
    void differenceAppliedAgainAfterALaterOneIsFound() {
        assertFound(
                "never agreed",
                world ->
                        world.stateApplier(
                                new FaithfulApplier() {
                                    private List<Update> earlier = List.of();

                                    @Override
                                    public void difference(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Update> updates) {
                                        controller.takeDifference(revision, updates);
                                        if (controller == world.controllers.get(0)) {
                                            controller.takeDifference(revision, earlier);
                                            earlier = updates;
                                        }
                                    }
                                }));
    }

    @Test
    void olderRevisionAfterANewerOneIsFound() {
        assertFound(
                "went back",
                world ->
                        world.stateApplier(
                                new FaithfulApplier() {
                                    private Revision earlier;
                                    private List<Item> earlierItems;

                                    @Override
                                    public void snapshot(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Item> items) {
                                        controller.takeSnapshot(revision, items);
                                        if (controller == world.controllers.get(0)
                                                && earlier == null) {
                                            earlier = revision;
                                            earlierItems = items;
                                        }
                                    }

                                    @Override
                                    public void difference(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Update> updates) {
                                        controller.takeDifference(revision, updates);
                                        if (controller == world.controllers.get(0)
                                                && earlier != null) {
                                            controller.takeSnapshot(earlier, earlierItems);
                                        }
                                    }
                                }));
    }

    @Test
    void staleStateReportedAsFreshIsFound() {
        assertFound(
                "ms old, it is",
                world ->
                        world.network.interceptWith(
                                (from, to, message) -> {
                                    if (from.name.startsWith("r")
                                            && message
                                                    instanceof
                                                    DistributionMessage.Heartbeat heartbeat) {
                                        return new DistributionMessage.Heartbeat(
                                                heartbeat.scopeEpoch(),
                                                heartbeat.current(),
                                                heartbeat.digest(),
                                                0,
                                                heartbeat.echoMillis());
                                    }
                                    return message;
                                }));
    }

    @Test
    void truncatedSnapshotIsFound() {
        assertFound(
                "never agreed",
                world ->
                        world.stateApplier(
                                new FaithfulApplier() {
                                    @Override
                                    public void snapshot(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Item> items) {
                                        controller.takeSnapshot(
                                                revision, items.subList(0, items.size() / 2));
                                    }
                                }));
    }

    @Test
    void prematureAcknowledgementIsFound() {
        assertFound(
                "claim",
                world ->
                        world.network.interceptWith(
                                (from, to, message) -> {
                                    if (from.name.startsWith("r")
                                            && message
                                                    instanceof
                                                    DistributionMessage.Acknowledge acknowledge) {
                                        Summary summary = acknowledge.summary();
                                        return new DistributionMessage.Acknowledge(
                                                acknowledge.scopeEpoch(),
                                                acknowledge.inForce(),
                                                acknowledge.snapshotParts(),
                                                new Summary(
                                                        acknowledge.inForce().number(),
                                                        summary.subscribers(),
                                                        0,
                                                        0,
                                                        summary.fingerprint()),
                                                acknowledge.sentMillis());
                                    }
                                    return message;
                                }));
    }

    @Test
    void unboundedWindowIsFound() {
        Limits.Admission admission = LIMITS.admission();
        Limits unbounded =
                TestLimits.with(
                        LIMITS,
                        new Limits.Admission(
                                admission.maxConnections(),
                                admission.subscriptionsPerSecond(),
                                admission.maxConcurrentSnapshots(),
                                1_000,
                                1_000,
                                admission.maxRetryMillis()));
        assertFound("messages wait", unbounded, world -> {});
    }

    private static DistributionMessage withoutFirst(DistributionMessage.SnapshotPart part) {
        List<Item> items =
                part.items().isEmpty() ? List.of() : part.items().subList(1, part.items().size());
        return new DistributionMessage.SnapshotPart(
                part.scopeEpoch(),
                part.revision(),
                part.part(),
                part.parts(),
                part.digest(),
                items);
    }

    private static void assertFound(String breach, Consumer<DistributionWorld> plant) {
        assertFound(breach, LIMITS, plant);
    }

    private static void assertFound(
            String breach, Limits limits, Consumer<DistributionWorld> plant) {
        List<String> found = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS && found.isEmpty(); seed++) {
            DistributionWorldTest.play(seed, limits, LIMITS, plant).checker.violations().stream()
                    .filter(each -> each.contains(breach))
                    .forEach(found::add);
        }
        assertThat(found).as("breaches in %d seeds", SEEDS).isNotEmpty();
    }

    /** Hands over as it should be. */
    private static class FaithfulApplier implements DistributionWorld.StateApplier {
        @Override
        public void snapshot(SimulatedController controller, Revision revision, List<Item> items) {
            controller.takeSnapshot(revision, items);
        }

        @Override
        public void difference(
                SimulatedController controller, Revision revision, List<Update> updates) {
            controller.takeDifference(revision, updates);
        }
    }
}
