package rockshift.capacity;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/**
 * Checks the observations of one controller over a run, and reports changes that it lost or
 * received out of order, and states that were older than it reported. Not thread-safe.
 */
final class ControllerCheck {
    /** The time within which a controller must be up to date after a partition. */
    private static final long MAX_CATCH_UP_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS;

    /** The tolerated delay between an event and its observation, due to clocks and scheduling. */
    private static final long OBSERVATION_DELAY_MILLIS = 250;

    private final String name;
    private final CommittedChanges committed;
    private final ScaleFindings findings;
    private Scope scope = Scope.all();
    private Revision revision = Revision.NONE;
    private long startedAtMillis;
    private boolean running;
    private boolean partitioned;
    private long healedAtMillis = Long.MIN_VALUE;

    /**
     * The revision that the controller must reach after a partition: the last in scope from before
     * it ended. 0 once the controller has it, or if no partition has ended.
     */
    private long dueAfterHeal;

    ControllerCheck(String name, CommittedChanges committed, ScaleFindings findings) {
        this.name = name;
        this.committed = committed;
        this.findings = findings;
    }

    /** Checks all observations of the controller, which must be in order. */
    void checkAll(List<Observation.OfController> observations, long endMillis) {
        for (Observation.OfController observation : observations) {
            checkCatchUp(observation.atMillis());
            check(observation);
        }
        checkCatchUp(endMillis);
        checkEnd(endMillis);
    }

    private void check(Observation.OfController observation) {
        if (observation instanceof Observation.Started start) {
            handleStarted(start);
        } else if (observation instanceof Observation.Ended) {
            running = false;
            dueAfterHeal = 0;
        } else if (observation instanceof Observation.SnapshotTaken snapshot) {
            checkSnapshot(snapshot);
        } else if (observation instanceof Observation.DifferenceTaken difference) {
            checkDifference(difference);
        } else if (observation instanceof Observation.Advanced advanced) {
            checkAdvanced(advanced);
        } else if (observation instanceof Observation.RevisionLogged logged) {
            checkLogged(logged);
        } else if (observation instanceof Observation.AgeReported reported) {
            checkAge(reported);
        } else if (observation instanceof Observation.Partitioned) {
            partitioned = true;
        } else if (observation instanceof Observation.Healed healed) {
            partitioned = false;
            healedAtMillis = healed.atMillis();
            dueAfterHeal = committed.newestBefore(healedAtMillis, scope);
        }
    }

    private void handleStarted(Observation.Started start) {
        scope = start.scope();
        revision = Revision.NONE;
        startedAtMillis = start.atMillis();
        running = true;
        dueAfterHeal = 0;
    }

    private void checkSnapshot(Observation.SnapshotTaken snapshot) {
        if (revision.sameCluster(snapshot.revision())
                && snapshot.revision().number() < revision.number()) {
            addDisordered("snapshot at " + snapshot.revision() + " after revision " + revision);
        }
        Map<String, Item> items = new HashMap<>();
        snapshot.items().forEach(item -> items.put(item.key(), item));
        committed
                .state(snapshot.revision().number())
                .forEach((key, update) -> checkItem(snapshot, update, items.remove(key)));
        items.values()
                .forEach(
                        item ->
                                addDisordered(
                                        "snapshot at "
                                                + snapshot.revision()
                                                + " contains uncommitted "
                                                + item));
        recordReached(snapshot.revision(), snapshot.atMillis());
    }

    /** Compares an item of a snapshot, or null if it is absent, with its last update. */
    private void checkItem(Observation.SnapshotTaken snapshot, Update update, Item item) {
        boolean expected = isInScope(update);
        if (expected && !update.item().equals(item)) {
            addLost(update, "snapshot at " + snapshot.revision());
        } else if (!expected && item != null) {
            addDisordered("snapshot at " + snapshot.revision() + " contains unexpected " + item);
        }
    }

    private void checkDifference(Observation.DifferenceTaken difference) {
        Revision target = difference.to();
        if (target.number() <= revision.number()) {
            addDisordered("difference to " + target + " after revision " + revision);
            return;
        }
        Map<String, Update> missing = relevantChanges(target.number());
        Map<String, Update> changes = committed.latestBetween(revision.number(), target.number());
        Set<String> updatedKeys = new HashSet<>();
        for (Update update : difference.updates()) {
            String key = update.item().key();
            if (!isExpected(update, changes.get(key)) || !updatedKeys.add(key)) {
                addDisordered(
                        "difference to "
                                + target
                                + " after revision "
                                + revision
                                + " contains unexpected "
                                + update);
            }
            missing.remove(key);
        }
        missing.values().forEach(update -> addLost(update, "difference to " + target));
        recordReached(target, difference.atMillis());
    }

    /** Whether an update is the last committed one or, if that is out of scope, a deletion. */
    private boolean isExpected(Update update, Update last) {
        if (last == null) {
            return false;
        }
        return isInScope(last) ? update.equals(last) : update.deleted();
    }

    private void checkAdvanced(Observation.Advanced advanced) {
        if (advanced.to().number() < revision.number()) {
            addDisordered("advance to " + advanced.to() + " after revision " + revision);
            return;
        }
        relevantChanges(advanced.to().number())
                .values()
                .forEach(update -> addLost(update, "advance to " + advanced.to()));
        recordReached(advanced.to(), advanced.atMillis());
    }

    private void checkLogged(Observation.RevisionLogged logged) {
        if (logged.revision().number() < revision.number()) {
            addDisordered("logged revision " + logged.revision() + " after revision " + revision);
        } else {
            recordReached(logged.revision(), logged.atMillis());
        }
    }

    private void checkAge(Observation.AgeReported reported) {
        long newest =
                committed.newestBefore(
                        reported.atMillis() - reported.ageMillis() - OBSERVATION_DELAY_MILLIS,
                        scope);
        if (!revision.isNone() && newest > revision.number()) {
            findings.stale(
                    name
                            + " reports an age of "
                            + reported.ageMillis()
                            + " ms at "
                            + reported.atMillis()
                            + " ms for revision "
                            + revision
                            + ", but lacks older change "
                            + newest);
        }
    }

    private void checkCatchUp(long atMillis) {
        if (dueAfterHeal > 0
                && running
                && !partitioned
                && atMillis > healedAtMillis + MAX_CATCH_UP_MILLIS) {
            findings.stale(
                    name
                            + " is still at revision "
                            + revision
                            + " at "
                            + atMillis
                            + " ms; its partition ended at "
                            + healedAtMillis
                            + " ms");
            dueAfterHeal = 0;
        }
    }

    /** Checks that the state has all changes that had to be in force by the end. */
    private void checkEnd(long endMillis) {
        if (!running || partitioned) {
            return;
        }
        long dueMillis = endMillis - ScaleVerdict.MAX_IN_FORCE_MILLIS;
        if (!revision.isNone()) {
            relevantChanges(committed.revisionAt(dueMillis))
                    .values()
                    .forEach(update -> addLost(update, "final state"));
        } else if (startedAtMillis <= dueMillis) {
            findings.lost(name + " has no state at the end");
        }
    }

    /**
     * Returns the last change of each key since the current revision, if it affects this
     * controller: the item is present in its scope afterwards, or was before.
     */
    private Map<String, Update> relevantChanges(long upTo) {
        Map<String, Update> changes = committed.latestBetween(revision.number(), upTo);
        Map<String, Update> before =
                changes.isEmpty() ? Map.of() : committed.state(revision.number());
        changes.values()
                .removeIf(
                        update ->
                                !isInScope(update) && !isInScope(before.get(update.item().key())));
        return changes;
    }

    private boolean isInScope(Update update) {
        return update != null && !update.deleted() && scope.matches(update);
    }

    /**
     * Records that the state has reached a revision. The latency of a change counts only if the
     * controller was running and connected throughout.
     */
    private void recordReached(Revision next, long atMillis) {
        if (!revision.isNone() && !partitioned) {
            for (Observation.Committed change :
                    committed.between(revision.number(), next.number())) {
                if (scope.matches(change.update()) && change.atMillis() > healedAtMillis) {
                    findings.inForceAfter(
                            change.update().revision(), Math.max(0, atMillis - change.atMillis()));
                }
            }
        }
        revision = next;
        if (revision.number() >= dueAfterHeal) {
            dueAfterHeal = 0;
        }
    }

    private void addLost(Update update, String where) {
        findings.lost(name + " at revision " + revision + ": " + where + " lacks " + update);
    }

    private void addDisordered(String description) {
        findings.disordered(name + ": " + description);
    }
}
