package rockshift.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Injects faults into simulations and verifies that the {@link DistributionChecker} detects each of
 * them. Without these tests, a checker that detects nothing would pass unnoticed.
 */
class DistributionCheckerTest {
    private static final int SEEDS = 20;
    private static final Limits LIMITS = DistributionSimulationTest.limits();

    @Test
    void updateLostInTransitIsDetected() {
        assertDetected(
                "after recovery",
                simulation ->
                        simulation.network.interceptWith(
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
    void updateNotAppliedByTheHostIsDetected() {
        assertDetected(
                "never agreed",
                simulation ->
                        simulation.stateApplier(
                                new UnmodifiedApplier() {
                                    @Override
                                    public void difference(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Update> updates) {
                                        boolean dropsFirst =
                                                controller == simulation.controllers.get(0);
                                        controller.applyDifference(
                                                revision,
                                                dropsFirst
                                                        ? updates.subList(1, updates.size())
                                                        : updates);
                                    }
                                }));
    }

    @Test
    void differenceReappliedAfterALaterOneIsDetected() {
        assertDetected(
                "never agreed",
                simulation ->
                        simulation.stateApplier(
                                new UnmodifiedApplier() {
                                    private List<Update> earlier = List.of();

                                    @Override
                                    public void difference(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Update> updates) {
                                        controller.applyDifference(revision, updates);
                                        if (controller == simulation.controllers.get(0)) {
                                            controller.applyDifference(revision, earlier);
                                            earlier = updates;
                                        }
                                    }
                                }));
    }

    @Test
    void olderRevisionAfterANewerOneIsDetected() {
        assertDetected(
                "older revision",
                simulation ->
                        simulation.stateApplier(
                                new UnmodifiedApplier() {
                                    private Revision earlier;
                                    private List<Item> earlierItems;

                                    @Override
                                    public void snapshot(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Item> items) {
                                        controller.applySnapshot(revision, items);
                                        if (controller == simulation.controllers.get(0)
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
                                        controller.applyDifference(revision, updates);
                                        if (controller == simulation.controllers.get(0)
                                                && earlier != null) {
                                            controller.applySnapshot(earlier, earlierItems);
                                        }
                                    }
                                }));
    }

    @Test
    void staleStateReportedAsFreshIsDetected() {
        assertDetected(
                "ms old, actual age",
                simulation ->
                        simulation.network.interceptWith(
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
    void truncatedSnapshotIsDetected() {
        assertDetected(
                "never agreed",
                simulation ->
                        simulation.stateApplier(
                                new UnmodifiedApplier() {
                                    @Override
                                    public void snapshot(
                                            SimulatedController controller,
                                            Revision revision,
                                            List<Item> items) {
                                        controller.applySnapshot(
                                                revision, items.subList(0, items.size() / 2));
                                    }
                                }));
    }

    @Test
    void prematureAcknowledgementIsDetected() {
        assertDetected(
                "as in force everywhere, but",
                simulation ->
                        simulation.network.interceptWith(
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
    void unboundedWindowIsDetected() {
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
        assertDetected("unread messages", unbounded, simulation -> {});
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

    private static void assertDetected(
            String violation, Consumer<DistributionSimulation> injectFault) {
        assertDetected(violation, LIMITS, injectFault);
    }

    private static void assertDetected(
            String violation, Limits limits, Consumer<DistributionSimulation> injectFault) {
        List<String> found = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS && found.isEmpty(); seed++) {
            DistributionSimulationTest.simulate(seed, limits, LIMITS, injectFault)
                    .checker
                    .violations()
                    .stream()
                    .filter(each -> each.contains(violation))
                    .forEach(found::add);
        }
        assertThat(found).as("matching violations in %d seeds", SEEDS).isNotEmpty();
    }

    /** Applies every snapshot and difference unchanged. */
    private static class UnmodifiedApplier implements DistributionSimulation.StateApplier {
        @Override
        public void snapshot(SimulatedController controller, Revision revision, List<Item> items) {
            controller.applySnapshot(revision, items);
        }

        @Override
        public void difference(
                SimulatedController controller, Revision revision, List<Update> updates) {
            controller.applyDifference(revision, updates);
        }
    }
}
