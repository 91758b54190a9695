package rockshift.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/** A correct run passes, and each planted fault is detected and counted under its kind. */
class ScaleCheckerTest {
    private static final long CLUSTER = 7;
    private static final int CHANGES = 12;
    private static final long SECOND = 1_000;
    private static final String WHOLE_SCOPE = "g-all";
    private static final String CHARTS_ONLY = "g-charts";

    /** The controller that is partitioned from 4.5 s to 8.5 s. */
    private static final String PARTITIONED = "g-cut";

    private static Item item(int change) {
        String service = change % 2 == 0 ? "charts" : "lookup";
        return new Item(
                "key-" + change % 6,
                service,
                "",
                ("value " + change).getBytes(StandardCharsets.UTF_8));
    }

    private static Update update(int change) {
        return change == 9 ? Update.delete(change, item(change)) : Update.put(change, item(change));
    }

    private static Revision revision(int change) {
        return new Revision(CLUSTER, change);
    }

    private static long proposedAt(int change) {
        return change * SECOND;
    }

    /**
     * The observations of a correct run: one change per second, in force 40 ms later, or in a
     * single difference after the partition.
     */
    private static List<Observation> correctRun() {
        List<Observation> observations = new ArrayList<>();
        for (String controller : List.of(WHOLE_SCOPE, CHARTS_ONLY, PARTITIONED)) {
            Scope scope =
                    controller.equals(CHARTS_ONLY)
                            ? Scope.of(Set.of("charts"), Set.of())
                            : Scope.all();
            observations.add(new Observation.Started(0, controller, scope));
            observations.add(new Observation.SnapshotTaken(30, controller, revision(0), List.of()));
        }
        for (int change = 1; change <= CHANGES; change++) {
            observations.add(new Observation.Committed(proposedAt(change), update(change)));
            long inForce = proposedAt(change) + 40;
            observations.add(
                    new Observation.DifferenceTaken(
                            inForce, WHOLE_SCOPE, revision(change), List.of(update(change))));
            observations.add(
                    change % 2 == 0
                            ? new Observation.DifferenceTaken(
                                    inForce, CHARTS_ONLY, revision(change), List.of(update(change)))
                            : new Observation.Advanced(inForce, CHARTS_ONLY, revision(change)));
            observations.add(
                    new Observation.AgeReported(proposedAt(change) + 500, WHOLE_SCOPE, 400));
            addPartitionedController(change, observations);
        }
        observations.add(new Observation.Ended(20 * SECOND, CHARTS_ONLY));
        return observations;
    }

    private static void addPartitionedController(int change, List<Observation> observations) {
        if (change <= 4 || change > 8) {
            observations.add(
                    new Observation.DifferenceTaken(
                            proposedAt(change) + 60,
                            PARTITIONED,
                            revision(change),
                            List.of(update(change))));
        }
        if (change == 4) {
            observations.add(new Observation.Partitioned(4_500, PARTITIONED));
        }
        if (change == 8) {
            observations.add(new Observation.AgeReported(8_400, PARTITIONED, 4_350));
            observations.add(new Observation.Healed(8_500, PARTITIONED));
            observations.add(
                    new Observation.DifferenceTaken(
                            8_700,
                            PARTITIONED,
                            revision(8),
                            List.of(update(5), update(6), update(7), update(8))));
        }
    }

    private static ScaleVerdict verdict(List<Observation> observations) {
        ScaleChecker checker = new ScaleChecker();
        observations.forEach(checker::observe);
        return checker.verdict();
    }

    /**
     * Checks the correct run after replacing one controller's difference at one revision; the fault
     * returns null to drop it.
     */
    private static ScaleVerdict verdictWithFault(
            String controller, int revision, UnaryOperator<Observation.DifferenceTaken> fault) {
        List<Observation> observations = new ArrayList<>();
        for (Observation each : correctRun()) {
            boolean matches =
                    each instanceof Observation.DifferenceTaken difference
                            && difference.controller().equals(controller)
                            && difference.to().number() == revision;
            Observation replaced = matches ? fault.apply((Observation.DifferenceTaken) each) : each;
            if (replaced != null) {
                observations.add(replaced);
            }
        }
        return verdict(observations);
    }

    private static ScaleVerdict verdictWith(Observation... more) {
        List<Observation> observations = correctRun();
        observations.addAll(List.of(more));
        return verdict(observations);
    }

    @Test
    void correctRunPasses() {
        ScaleVerdict verdict = verdict(correctRun());
        assertThat(verdict.examples()).isEmpty();
        assertThat(verdict.passed()).isTrue();
        assertThat(verdict.inForceEverywhereMillis().getTotalCount()).isEqualTo(CHANGES);
        assertThat(verdict.inForceEverywhereMillis().getMaxValue()).isEqualTo(60);
        assertThat(verdict.summary(0.5, 120))
                .isEqualTo(
                        "scale: 3 governors, 12 changes, in force everywhere p50 0.06 s p99 0.06 s"
                                + " max 0.06 s, 0 lost, 0 out of order, 0 stale after heal, busiest"
                                + " member 50.0% of a core, governor 120 B/s");
    }

    @Test
    void changeDroppedForOneControllerIsLost() {
        ScaleVerdict verdict =
                verdictWithFault(
                        WHOLE_SCOPE,
                        6,
                        taken ->
                                new Observation.DifferenceTaken(
                                        taken.atMillis(),
                                        taken.controller(),
                                        taken.to(),
                                        List.of()));
        assertThat(verdict.lost()).isEqualTo(1);
        assertThat(verdict.passed()).isFalse();
    }

    @Test
    void deletionOfItemThatControllerNeverHadIsNotRequired() {
        Update put = Update.put(CHANGES + 1, new Item("brief", "", "", new byte[] {1}));
        Update delete = Update.delete(CHANGES + 2, put.item());
        Observation[] committed = {
            new Observation.Committed(13 * SECOND, put),
            new Observation.Committed(14 * SECOND, delete)
        };
        Observation[] advanced =
                Stream.of(WHOLE_SCOPE, CHARTS_ONLY, PARTITIONED)
                        .map(name -> new Observation.Advanced(14_050, name, revision(CHANGES + 2)))
                        .toArray(Observation[]::new);
        List<Observation> observations = correctRun();
        observations.removeIf(Observation.Ended.class::isInstance);
        observations.addAll(List.of(committed));
        observations.addAll(List.of(advanced));
        assertThat(verdict(observations).passed())
                .as("a put and a deletion within one advance")
                .isTrue();
        observations.add(
                new Observation.Committed(15 * SECOND, Update.delete(CHANGES + 3, item(8))));
        observations.add(new Observation.Advanced(15_050, WHOLE_SCOPE, revision(CHANGES + 3)));
        assertThat(verdict(observations).lost())
                .as("an advance past the deletion of a present item")
                .isEqualTo(1);
    }

    @Test
    void changeSkippedByAdvanceIsLost() {
        List<Observation> observations = correctRun();
        observations.removeIf(
                each ->
                        each instanceof Observation.DifferenceTaken taken
                                && taken.controller().equals(CHARTS_ONLY)
                                && taken.to().number() == 6);
        assertThat(verdict(observations).lost()).as("advance to 7 without change 6").isEqualTo(1);
    }

    @Test
    void differenceAppliedTwiceIsDisordered() {
        List<Observation> observations = correctRun();
        int first =
                observations.indexOf(
                        observations.stream()
                                .filter(
                                        each ->
                                                each instanceof Observation.DifferenceTaken taken
                                                        && taken.to().number() == 3)
                                .findFirst()
                                .orElseThrow());
        observations.add(first + 1, observations.get(first));
        assertThat(verdict(observations).disordered()).isEqualTo(1);
    }

    @Test
    void changeRepeatedLaterIsDisordered() {
        ScaleVerdict verdict =
                verdictWithFault(
                        WHOLE_SCOPE,
                        4,
                        taken ->
                                new Observation.DifferenceTaken(
                                        taken.atMillis(),
                                        taken.controller(),
                                        taken.to(),
                                        List.of(update(3), update(4))));
        assertThat(verdict.disordered()).isEqualTo(1);
    }

    @Test
    void snapshotAtOlderRevisionIsDisordered() {
        assertThat(
                        verdictWith(
                                        new Observation.SnapshotTaken(
                                                13 * SECOND, WHOLE_SCOPE, revision(0), List.of()))
                                .disordered())
                .isEqualTo(1);
    }

    @Test
    void olderValueUnderNewerRevisionIsDisordered() {
        ScaleVerdict verdict =
                verdictWithFault(
                        WHOLE_SCOPE,
                        7,
                        taken ->
                                new Observation.DifferenceTaken(
                                        taken.atMillis(),
                                        taken.controller(),
                                        taken.to(),
                                        List.of(Update.put(7, item(2)))));
        assertThat(verdict.disordered()).isEqualTo(1);
    }

    @Test
    void staleStateReportedAsFreshIsStale() {
        ScaleVerdict verdict =
                verdict(
                        correctRun().stream()
                                .map(
                                        each ->
                                                each instanceof Observation.AgeReported reported
                                                                && reported.controller()
                                                                        .equals(PARTITIONED)
                                                        ? new Observation.AgeReported(
                                                                reported.atMillis(),
                                                                PARTITIONED,
                                                                100)
                                                        : each)
                                .toList());
        assertThat(verdict.stale()).isEqualTo(1);
        assertThat(verdict.passed()).isFalse();
    }

    @Test
    void itemsMissingFromSnapshotAreLost() {
        List<Observation> restart =
                List.of(
                        new Observation.Started(13 * SECOND, WHOLE_SCOPE, Scope.all()),
                        new Observation.SnapshotTaken(
                                13_200,
                                WHOLE_SCOPE,
                                revision(12),
                                List.of(item(7), item(8), item(10), item(11), item(12))));
        assertThat(verdictWith(restart.toArray(Observation[]::new)).passed())
                .as("snapshot with all items except the deleted one")
                .isTrue();
        ScaleVerdict verdict =
                verdictWith(
                        new Observation.Started(13 * SECOND, WHOLE_SCOPE, Scope.all()),
                        new Observation.SnapshotTaken(
                                13_200, WHOLE_SCOPE, revision(12), List.of(item(10), item(11))));
        assertThat(verdict.lost()).isEqualTo(3);
    }

    @Test
    void controllerThatDoesNotCatchUpAfterPartitionIsStale() {
        List<Observation> observations = correctRun();
        observations.removeIf(
                each ->
                        each instanceof Observation.DifferenceTaken taken
                                && taken.controller().equals(PARTITIONED)
                                && taken.to().number() > 4);
        assertThat(verdict(observations).stale()).isEqualTo(1);
    }

    @Test
    void updatesOutOfScopeOrUncommittedAreDisordered() {
        assertThat(
                        verdictWithFault(
                                        CHARTS_ONLY,
                                        6,
                                        taken ->
                                                new Observation.DifferenceTaken(
                                                        taken.atMillis(),
                                                        CHARTS_ONLY,
                                                        taken.to(),
                                                        List.of(update(5), update(6))))
                                .disordered())
                .isEqualTo(1);
        Update uncommitted = Update.put(6, new Item("key-99", "", "", new byte[] {1}));
        assertThat(
                        verdictWithFault(
                                        WHOLE_SCOPE,
                                        6,
                                        taken ->
                                                new Observation.DifferenceTaken(
                                                        taken.atMillis(),
                                                        WHOLE_SCOPE,
                                                        taken.to(),
                                                        List.of(update(6), uncommitted)))
                                .disordered())
                .isEqualTo(1);
    }

    @Test
    void changeInForceAfterLimitFailsRun() {
        ScaleVerdict verdict =
                verdictWithFault(
                        WHOLE_SCOPE,
                        12,
                        taken ->
                                new Observation.DifferenceTaken(
                                        proposedAt(12) + ScaleVerdict.MAX_IN_FORCE_MILLIS + 100,
                                        WHOLE_SCOPE,
                                        taken.to(),
                                        taken.updates()));
        assertThat(verdict.inForceEverywhereMillis().getMaxValue())
                .isGreaterThan(ScaleVerdict.MAX_IN_FORCE_MILLIS);
        assertThat(verdict.passed()).isFalse();
    }

    @Test
    void changeMissingAtEndIsLost() {
        ScaleVerdict verdict = verdictWithFault(WHOLE_SCOPE, 12, taken -> null);
        assertThat(verdict.lost()).isEqualTo(1);
    }
}
