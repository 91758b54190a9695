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
 * Follows one controller through a run, from each of its starts to its end, and reports what it
 * lost, took out of order or took for fresher than it was. Not thread-safe.
 */
final class ControllerCheck {
    /** After a partition, within which a controller is to be up to date again. */
    private static final long MAX_CATCH_UP_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS;

    /** What clocks and this program's own threads may put between an event and its observation. */
    private static final long SLACK_MILLIS = 250;

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
     * The newest change before the partition ended; 0 once the controller has it, or where no
     * partition ended.
     */
    private long missingAfterHeal;

    ControllerCheck(String name, CommittedChanges committed, ScaleFindings findings) {
        this.name = name;
        this.committed = committed;
        this.findings = findings;
    }

    /** Checks all observations of the controller, which are in their order. */
    void checkAll(List<Observation.OfController> all, long endMillis) {
        for (Observation.OfController seen : all) {
            checkCatchUp(seen.atMillis());
            check(seen);
        }
        checkCatchUp(endMillis);
        checkEnd(endMillis);
    }

    private void check(Observation.OfController seen) {
        if (seen instanceof Observation.Started start) {
            started(start);
        } else if (seen instanceof Observation.Ended) {
            running = false;
            missingAfterHeal = 0;
        } else if (seen instanceof Observation.SnapshotTaken snapshot) {
            checkSnapshot(snapshot);
        } else if (seen instanceof Observation.DifferenceTaken difference) {
            checkDifference(difference);
        } else if (seen instanceof Observation.Advanced advanced) {
            checkAdvanced(advanced);
        } else if (seen instanceof Observation.RevisionLogged logged) {
            checkLogged(logged);
        } else if (seen instanceof Observation.AgeReported reported) {
            checkAge(reported);
        } else if (seen instanceof Observation.Partitioned) {
            partitioned = true;
        } else if (seen instanceof Observation.Healed healed) {
            partitioned = false;
            healedAtMillis = healed.atMillis();
            missingAfterHeal = committed.newestBefore(healedAtMillis, scope);
        }
    }

    private void started(Observation.Started start) {
        scope = start.scope();
        revision = Revision.NONE;
        startedAtMillis = start.atMillis();
        running = true;
        missingAfterHeal = 0;
    }

    private void checkSnapshot(Observation.SnapshotTaken snapshot) {
        if (revision.sameCluster(snapshot.revision())
                && snapshot.revision().number() < revision.number()) {
            addDisordered("a snapshot at " + snapshot.revision() + " after " + revision);
        }
        Map<String, Item> items = new HashMap<>();
        snapshot.items().forEach(item -> items.put(item.key(), item));
        committed
                .state(snapshot.revision().number())
                .forEach((key, update) -> checkItem(snapshot, update, items.remove(key)));
        items.values()
                .forEach(item -> addDisordered("the snapshot holds " + item + ", never agreed"));
        reached(snapshot.revision(), snapshot.atMillis());
    }

    /** Compares an item of a snapshot, null if it is not there, with its last update. */
    private void checkItem(Observation.SnapshotTaken snapshot, Update update, Item item) {
        boolean expected = isInScope(update);
        if (expected && !update.item().equals(item)) {
            addLost(update, "the snapshot at " + snapshot.revision());
        } else if (!expected && item != null) {
            addDisordered("the snapshot at " + snapshot.revision() + " holds " + item);
        }
    }

    private void checkDifference(Observation.DifferenceTaken difference) {
        Revision target = difference.to();
        if (target.number() <= revision.number()) {
            addDisordered("a difference to " + target + " after " + revision);
            return;
        }
        Map<String, Update> missing = relevantChanges(target.number());
        Map<String, Update> changes = committed.latestBetween(revision.number(), target.number());
        Set<String> updatedKeys = new HashSet<>();
        for (Update update : difference.updates()) {
            String key = update.item().key();
            if (!isExpected(update, changes.get(key)) || !updatedKeys.add(key)) {
                addDisordered(
                        "a difference to " + target + " after " + revision + " brings " + update);
            }
            missing.remove(key);
        }
        missing.values().forEach(update -> addLost(update, "the difference to " + target));
        reached(target, difference.atMillis());
    }

    /** Whether an update is the last committed one; out of scope it must delete the item. */
    private boolean isExpected(Update update, Update last) {
        if (last == null) {
            return false;
        }
        return isInScope(last) ? update.equals(last) : update.deleted();
    }

    private void checkAdvanced(Observation.Advanced advanced) {
        if (advanced.to().number() < revision.number()) {
            addDisordered("advanced to " + advanced.to() + " after " + revision);
            return;
        }
        relevantChanges(advanced.to().number())
                .values()
                .forEach(update -> addLost(update, "advanced to " + advanced.to()));
        reached(advanced.to(), advanced.atMillis());
    }

    private void checkLogged(Observation.RevisionLogged logged) {
        if (logged.revision().number() < revision.number()) {
            addDisordered("logged " + logged.revision() + " after " + revision);
        } else {
            reached(logged.revision(), logged.atMillis());
        }
    }

    private void checkAge(Observation.AgeReported reported) {
        long newest =
                committed.newestBefore(
                        reported.atMillis() - reported.ageMillis() - SLACK_MILLIS, scope);
        if (!revision.isNone() && newest > revision.number()) {
            findings.stale(
                    name
                            + " holds "
                            + revision
                            + " and calls it "
                            + reported.ageMillis()
                            + " ms old at "
                            + reported.atMillis()
                            + ", before "
                            + newest);
        }
    }

    private void checkCatchUp(long atMillis) {
        if (missingAfterHeal > 0
                && running
                && !partitioned
                && atMillis > healedAtMillis + MAX_CATCH_UP_MILLIS) {
            findings.stale(
                    name
                            + " holds "
                            + revision
                            + " at "
                            + atMillis
                            + ", the cut ended at "
                            + healedAtMillis);
            missingAfterHeal = 0;
        }
    }

    /** All that was proposed long enough before the end is there. */
    private void checkEnd(long endMillis) {
        if (!running || partitioned) {
            return;
        }
        long dueMillis = endMillis - ScaleVerdict.MAX_IN_FORCE_MILLIS;
        if (!revision.isNone()) {
            relevantChanges(committed.revisionAt(dueMillis))
                    .values()
                    .forEach(update -> addLost(update, "what is held at the end"));
        } else if (startedAtMillis <= dueMillis) {
            findings.lost(name + " holds nothing at the end");
        }
    }

    /**
     * The last change since the present revision of each key that matters here: of an item that is
     * to be there, or of one that was and is to be there no more.
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
     * The state is at a revision now. The time that changes took counts where the controller was
     * running and connected all the while.
     */
    private void reached(Revision next, long atMillis) {
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
        if (revision.number() >= missingAfterHeal) {
            missingAfterHeal = 0;
        }
    }

    private void addLost(Update update, String where) {
        findings.lost(name + ", which holds " + revision + ": " + where + " is without " + update);
    }

    private void addDisordered(String what) {
        findings.disordered(name + ": " + what);
    }
}
