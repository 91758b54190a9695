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

/** A run that is right passes; each planted fault is found, and counted as what it is. */
class ScaleCheckerTest {
    private static final long CLUSTER = 7;
    private static final int CHANGES = 12;
    private static final long SECOND = 1_000;
    private static final String EVERYWHERE = "g-all";
    private static final String CHARTS = "g-charts";

    /** Partitioned from 4.5 s to 8.5 s. */
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

    private static Revision at(int change) {
        return new Revision(CLUSTER, change);
    }

    private static long proposedAt(int change) {
        return change * SECOND;
    }

    /**
     * What a right run sees: a change each second, in force 40 ms later, and after the cut in one
     * difference.
     */
    private static List<Observation> correctRun() {
        List<Observation> seen = new ArrayList<>();
        for (String controller : List.of(EVERYWHERE, CHARTS, PARTITIONED)) {
            Scope scope =
                    controller.equals(CHARTS) ? Scope.of(Set.of("charts"), Set.of()) : Scope.all();
            seen.add(new Observation.Started(0, controller, scope));
            seen.add(new Observation.SnapshotTaken(30, controller, at(0), List.of()));
        }
        for (int change = 1; change <= CHANGES; change++) {
            seen.add(new Observation.Committed(proposedAt(change), update(change)));
            long inForce = proposedAt(change) + 40;
            seen.add(
                    new Observation.DifferenceTaken(
                            inForce, EVERYWHERE, at(change), List.of(update(change))));
            seen.add(
                    change % 2 == 0
                            ? new Observation.DifferenceTaken(
                                    inForce, CHARTS, at(change), List.of(update(change)))
                            : new Observation.Advanced(inForce, CHARTS, at(change)));
            seen.add(new Observation.AgeReported(proposedAt(change) + 500, EVERYWHERE, 400));
            addPartitionedController(change, seen);
        }
        seen.add(new Observation.Ended(20 * SECOND, CHARTS));
        return seen;
    }

    private static void addPartitionedController(int change, List<Observation> seen) {
        if (change <= 4 || change > 8) {
            seen.add(
                    new Observation.DifferenceTaken(
                            proposedAt(change) + 60,
                            PARTITIONED,
                            at(change),
                            List.of(update(change))));
        }
        if (change == 4) {
            seen.add(new Observation.Partitioned(4_500, PARTITIONED));
        }
        if (change == 8) {
            seen.add(new Observation.AgeReported(8_400, PARTITIONED, 4_350));
            seen.add(new Observation.Healed(8_500, PARTITIONED));
            seen.add(
                    new Observation.DifferenceTaken(
                            8_700,
                            PARTITIONED,
                            at(8),
                            List.of(update(5), update(6), update(7), update(8))));
        }
    }

    private static ScaleVerdict judge(List<Observation> seen) {
        ScaleChecker checker = new ScaleChecker();
        seen.forEach(checker::observe);
        return checker.verdict();
    }

    /**
     * The right run with what one controller saw at one revision replaced; null in place of it
     * drops it.
     */
    private static ScaleVerdict planted(
            String controller, int revision, UnaryOperator<Observation.DifferenceTaken> fault) {
        List<Observation> seen = new ArrayList<>();
        for (Observation each : correctRun()) {
            boolean hit =
                    each instanceof Observation.DifferenceTaken difference
                            && difference.controller().equals(controller)
                            && difference.to().number() == revision;
            Observation put = hit ? fault.apply((Observation.DifferenceTaken) each) : each;
            if (put != null) {
                seen.add(put);
            }
        }
        return judge(seen);
    }

    private static ScaleVerdict correctRunWith(Observation... more) {
        List<Observation> seen = correctRun();
        seen.addAll(List.of(more));
        return judge(seen);
    }

    @Test
    void correctRunPasses() {
        ScaleVerdict verdict = judge(correctRun());
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
                planted(
                        EVERYWHERE,
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
    void deletionOfAnItemNeverPresentIsNotRequired() {
        Update put = Update.put(CHANGES + 1, new Item("brief", "", "", new byte[] {1}));
        Update gone = Update.delete(CHANGES + 2, put.item());
        Observation[] agreed = {
            new Observation.Committed(13 * SECOND, put),
            new Observation.Committed(14 * SECOND, gone)
        };
        Observation[] advanced =
                Stream.of(EVERYWHERE, CHARTS, PARTITIONED)
                        .map(name -> new Observation.Advanced(14_050, name, at(CHANGES + 2)))
                        .toArray(Observation[]::new);
        List<Observation> seen = correctRun();
        seen.removeIf(Observation.Ended.class::isInstance);
        seen.addAll(List.of(agreed));
        seen.addAll(List.of(advanced));
        assertThat(judge(seen).passed()).as("both at once change nothing").isTrue();
        seen.add(new Observation.Committed(15 * SECOND, Update.delete(CHANGES + 3, item(8))));
        seen.add(new Observation.Advanced(15_050, EVERYWHERE, at(CHANGES + 3)));
        assertThat(judge(seen).lost()).as("a deletion of what is held").isEqualTo(1);
    }

    @Test
    void changeSkippedByAnAdvanceIsLost() {
        List<Observation> seen = correctRun();
        seen.removeIf(
                each ->
                        each instanceof Observation.DifferenceTaken taken
                                && taken.controller().equals(CHARTS)
                                && taken.to().number() == 6);
        assertThat(judge(seen).lost()).as("the advance to 7 is without 6").isEqualTo(1);
    }

    @Test
    void differenceAppliedTwiceIsDisordered() {
        List<Observation> seen = correctRun();
        int first =
                seen.indexOf(
                        seen.stream()
                                .filter(
                                        each ->
                                                each instanceof Observation.DifferenceTaken taken
                                                        && taken.to().number() == 3)
                                .findFirst()
                                .orElseThrow());
        seen.add(first + 1, seen.get(first));
        assertThat(judge(seen).disordered()).isEqualTo(1);
    }

    @Test
    void changeRepeatedLaterIsDisordered() {
        ScaleVerdict verdict =
                planted(
                        EVERYWHERE,
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
    void olderRevisionAfterANewerOneIsDisordered() {
        assertThat(
                        correctRunWith(
                                        new Observation.SnapshotTaken(
                                                13 * SECOND, EVERYWHERE, at(0), List.of()))
                                .disordered())
                .isEqualTo(1);
    }

    @Test
    void olderValueUnderANewerRevisionIsFound() {
        ScaleVerdict verdict =
                planted(
                        EVERYWHERE,
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
                judge(
                        correctRun().stream()
                                .map(
                                        each ->
                                                each instanceof Observation.AgeReported told
                                                                && told.controller()
                                                                        .equals(PARTITIONED)
                                                        ? new Observation.AgeReported(
                                                                told.atMillis(), PARTITIONED, 100)
                                                        : each)
                                .toList());
        assertThat(verdict.stale()).isEqualTo(1);
        assertThat(verdict.passed()).isFalse();
    }

    @Test
    void truncatedSnapshotIsLost() {
        List<Observation> restart =
                List.of(
                        new Observation.Started(13 * SECOND, EVERYWHERE, Scope.all()),
                        new Observation.SnapshotTaken(
                                13_200,
                                EVERYWHERE,
                                at(12),
                                List.of(item(7), item(8), item(10), item(11), item(12))));
        assertThat(correctRunWith(restart.toArray(Observation[]::new)).passed())
                .as("all but the deleted one")
                .isTrue();
        ScaleVerdict verdict =
                correctRunWith(
                        new Observation.Started(13 * SECOND, EVERYWHERE, Scope.all()),
                        new Observation.SnapshotTaken(
                                13_200, EVERYWHERE, at(12), List.of(item(10), item(11))));
        assertThat(verdict.lost()).isEqualTo(3);
    }

    @Test
    void controllerThatDoesNotCatchUpAfterAPartitionIsStale() {
        List<Observation> seen = correctRun();
        seen.removeIf(
                each ->
                        each instanceof Observation.DifferenceTaken taken
                                && taken.controller().equals(PARTITIONED)
                                && taken.to().number() > 4);
        assertThat(judge(seen).stale()).isEqualTo(1);
    }

    @Test
    void itemsOutOfScopeOrNeverCommittedAreDisordered() {
        assertThat(
                        planted(
                                        CHARTS,
                                        6,
                                        taken ->
                                                new Observation.DifferenceTaken(
                                                        taken.atMillis(),
                                                        CHARTS,
                                                        taken.to(),
                                                        List.of(update(5), update(6))))
                                .disordered())
                .isEqualTo(1);
        Update invented = Update.put(6, new Item("key-99", "", "", new byte[] {1}));
        assertThat(
                        planted(
                                        EVERYWHERE,
                                        6,
                                        taken ->
                                                new Observation.DifferenceTaken(
                                                        taken.atMillis(),
                                                        EVERYWHERE,
                                                        taken.to(),
                                                        List.of(update(6), invented)))
                                .disordered())
                .isEqualTo(1);
    }

    @Test
    void lateChangeFailsTheRun() {
        ScaleVerdict verdict =
                planted(
                        EVERYWHERE,
                        12,
                        taken ->
                                new Observation.DifferenceTaken(
                                        proposedAt(12) + ScaleVerdict.MAX_IN_FORCE_MILLIS + 100,
                                        EVERYWHERE,
                                        taken.to(),
                                        taken.updates()));
        assertThat(verdict.inForceEverywhereMillis().getMaxValue())
                .isGreaterThan(ScaleVerdict.MAX_IN_FORCE_MILLIS);
        assertThat(verdict.passed()).isFalse();
    }

    @Test
    void changeMissingAtTheEndIsLost() {
        ScaleVerdict verdict = planted(EVERYWHERE, 12, taken -> null);
        assertThat(verdict.lost()).isEqualTo(1);
    }
}
