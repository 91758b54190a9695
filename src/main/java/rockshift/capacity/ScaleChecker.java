package rockshift.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/**
 * Judges what a run of many governors saw. The truth is the changes that members agreed, in the
 * order of their revisions; all that governors took is compared with it. Observations of one
 * governor come in their order; all else may come in any. It does no I/O, reads no clock and takes
 * part in nothing.
 */
public final class ScaleChecker {
    /** Ms after a cut within which a governor is to be up to date again. */
    private static final long HEAL_MILLIS = ScaleVerdict.IN_FORCE_MILLIS;

    /** Ms that clocks and the rig's own threads may put between an event and its observation. */
    private static final long SLACK_MILLIS = 250;

    private static final int EXAMPLES = 20;

    /** The changes by revision, and when each was asked for. */
    private final TreeMap<Long, Observation.Agreed> agreed = new TreeMap<>();

    private final Map<String, List<Observation.OfGovernor>> byGovernor = new TreeMap<>();
    private final Map<Long, Map<String, Update>> truths = new HashMap<>();

    /** When each change was in force where it took longest, in ms since it was asked for. */
    private final Map<Long, Long> slowest = new TreeMap<>();

    private final List<String> examples = new ArrayList<>();
    private long endMillis;
    private int lost;
    private int disordered;
    private int stale;

    /** Takes in what was seen. */
    public synchronized void saw(Observation observation) {
        endMillis = Math.max(endMillis, observation.atMillis());
        if (observation instanceof Observation.Agreed change) {
            agreed.put(change.update().revision(), change);
        } else if (observation instanceof Observation.OfGovernor seen) {
            byGovernor.computeIfAbsent(seen.governor(), name -> new ArrayList<>()).add(seen);
        }
    }

    /** Judges all that was seen; called once, at the end of a run. */
    public synchronized ScaleVerdict verdict() {
        byGovernor.forEach((name, seen) -> new Life(name).follow(seen));
        Histogram everywhere = new Histogram(3);
        slowest.values().forEach(everywhere::recordValue);
        return new ScaleVerdict(
                byGovernor.size(),
                agreed.size(),
                everywhere,
                lost,
                disordered,
                stale,
                List.copyOf(examples));
    }

    private void example(String what) {
        if (examples.size() < EXAMPLES) {
            examples.add(what);
        }
    }

    /** The last update of each key up to a revision, deletions among them. */
    private Map<String, Update> truth(long revision) {
        return truths.computeIfAbsent(revision, at -> latest(agreed.headMap(at, true).values()));
    }

    private static Map<String, Update> latest(Collection<Observation.Agreed> changes) {
        Map<String, Update> last = new HashMap<>();
        changes.forEach(change -> last.put(change.update().item().key(), change.update()));
        return last;
    }

    /** The last revision that was asked for before a time; 0 if there is none. */
    private long revisionAt(long atMillis) {
        return agreed.values().stream()
                .filter(change -> change.atMillis() <= atMillis)
                .mapToLong(change -> change.update().revision())
                .max()
                .orElse(0);
    }

    /** One governor from its start to its end, and anew at each start. */
    private final class Life {
        private final String name;
        private Scope scope = Scope.all();
        private Revision held = Revision.NONE;
        private long startedAt;
        private boolean running;
        private boolean cut;

        /** Keys that one difference brought so far. */
        private final Set<String> brought = new HashSet<>();

        private long healedAt = Long.MIN_VALUE;

        /** The newest change before the cut ended; 0 when the governor has it, or no cut ended. */
        private long owedAfterHeal;

        Life(String name) {
            this.name = name;
        }

        void follow(List<Observation.OfGovernor> all) {
            for (Observation.OfGovernor seen : all) {
                checkHealing(seen.atMillis());
                take(seen);
            }
            checkHealing(endMillis);
            checkEnd();
        }

        private void take(Observation.OfGovernor seen) {
            if (seen instanceof Observation.Started start) {
                scope = start.scope();
                held = Revision.NONE;
                startedAt = start.atMillis();
                running = true;
                owedAfterHeal = 0;
            } else if (seen instanceof Observation.Ended) {
                running = false;
                owedAfterHeal = 0;
            } else if (seen instanceof Observation.SnapshotTaken snapshot) {
                snapshot(snapshot);
            } else if (seen instanceof Observation.DifferenceTaken difference) {
                difference(difference);
            } else if (seen instanceof Observation.Advanced advanced) {
                advanced(advanced);
            } else if (seen instanceof Observation.Logged logged) {
                logged(logged);
            } else if (seen instanceof Observation.AgeTold told) {
                age(told);
            } else if (seen instanceof Observation.CutOff) {
                cut = true;
            } else if (seen instanceof Observation.Healed healed) {
                cut = false;
                healedAt = healed.atMillis();
                owedAfterHeal = newestBefore(healedAt);
            }
        }

        /**
         * The newest change that concerns this governor and was asked for before a time; 0 if there
         * is none.
         */
        private long newestBefore(long atMillis) {
            for (Observation.Agreed change : agreed.descendingMap().values()) {
                if (change.atMillis() <= atMillis && scope.matches(change.update())) {
                    return change.update().revision();
                }
            }
            return 0;
        }

        private void snapshot(Observation.SnapshotTaken snapshot) {
            if (held.sameCluster(snapshot.revision())
                    && snapshot.revision().number() < held.number()) {
                disorder("a snapshot at " + snapshot.revision() + " after " + held);
            }
            Map<String, Item> items = new HashMap<>();
            snapshot.items().forEach(item -> items.put(item.key(), item));
            truth(snapshot.revision().number())
                    .forEach(
                            (key, update) -> {
                                Item item = items.remove(key);
                                boolean owed = isOurs(update);
                                if (owed && !update.item().equals(item)) {
                                    lose(update, "the snapshot at " + snapshot.revision());
                                } else if (!owed && item != null) {
                                    disorder(
                                            "the snapshot at "
                                                    + snapshot.revision()
                                                    + " holds "
                                                    + item);
                                }
                            });
            items.values()
                    .forEach(item -> disorder("the snapshot holds " + item + ", never agreed"));
            reach(snapshot.revision(), snapshot.atMillis());
        }

        private void difference(Observation.DifferenceTaken difference) {
            if (difference.to().number() <= held.number()) {
                disorder("a difference to " + difference.to() + " after " + held);
                return;
            }
            Map<String, Update> owed = owed(difference.to().number());
            Map<String, Update> changed = changed(difference.to().number());
            for (Update update : difference.updates()) {
                Update truth = changed.get(update.item().key());
                boolean right =
                        truth != null && (isOurs(truth) ? update.equals(truth) : update.deleted());
                if (!right || !brought.add(update.item().key())) {
                    disorder(
                            "a difference to "
                                    + difference.to()
                                    + " after "
                                    + held
                                    + " brings "
                                    + update);
                }
                owed.remove(update.item().key());
            }
            brought.clear();
            owed.values().forEach(update -> lose(update, "the difference to " + difference.to()));
            reach(difference.to(), difference.atMillis());
        }

        private void advanced(Observation.Advanced advanced) {
            if (advanced.to().number() < held.number()) {
                disorder("advanced to " + advanced.to() + " after " + held);
                return;
            }
            owed(advanced.to().number())
                    .values()
                    .forEach(update -> lose(update, "advanced to " + advanced.to()));
            reach(advanced.to(), advanced.atMillis());
        }

        /** The last change of each key since what is held, up to a revision. */
        private Map<String, Update> changed(long to) {
            return latest(
                    agreed.subMap(held.number(), false, Math.max(held.number(), to), true)
                            .values());
        }

        /**
         * Those of them that matter here: an item that is to be held, or one that was and is to be
         * held no more.
         */
        private Map<String, Update> owed(long to) {
            Map<String, Update> owed = changed(to);
            Map<String, Update> before = owed.isEmpty() ? Map.of() : truth(held.number());
            owed.values()
                    .removeIf(
                            update -> !isOurs(update) && !isOurs(before.get(update.item().key())));
            return owed;
        }

        private boolean isOurs(Update update) {
            return update != null && !update.deleted() && scope.matches(update);
        }

        private void logged(Observation.Logged logged) {
            if (logged.revision().number() < held.number()) {
                disorder("logged " + logged.revision() + " after " + held);
            } else {
                reach(logged.revision(), logged.atMillis());
            }
        }

        /**
         * What is held now; changes asked for while this life ran outside a cut count for how long
         * they took.
         */
        private void reach(Revision revision, long atMillis) {
            boolean counts = !held.isNone();
            for (Observation.Agreed change :
                    agreed.subMap(
                                    held.number(),
                                    false,
                                    Math.max(held.number(), revision.number()),
                                    true)
                            .values()) {
                if (counts
                        && scope.matches(change.update())
                        && !cut
                        && change.atMillis() > healedAt) {
                    slowest.merge(
                            change.update().revision(),
                            Math.max(0, atMillis - change.atMillis()),
                            Math::max);
                }
            }
            held = revision;
            if (held.number() >= owedAfterHeal) {
                owedAfterHeal = 0;
            }
        }

        private void age(Observation.AgeTold told) {
            long newest = newestBefore(told.atMillis() - told.ageMillis() - SLACK_MILLIS);
            if (!held.isNone() && newest > held.number()) {
                stale++;
                example(
                        name
                                + " holds "
                                + held
                                + " and calls it "
                                + told.ageMillis()
                                + " ms old at "
                                + told.atMillis()
                                + ", before "
                                + newest);
            }
        }

        private void checkHealing(long atMillis) {
            if (owedAfterHeal > 0 && running && !cut && atMillis > healedAt + HEAL_MILLIS) {
                stale++;
                example(
                        name
                                + " holds "
                                + held
                                + " at "
                                + atMillis
                                + ", the cut ended at "
                                + healedAt);
                owedAfterHeal = 0;
            }
        }

        /** All that was asked for long enough before the end is held. */
        private void checkEnd() {
            if (!running || cut) {
                return;
            }
            long due = endMillis - ScaleVerdict.IN_FORCE_MILLIS;
            if (held.isNone() && startedAt <= due) {
                lost++;
                example(name + " holds nothing at the end");
            }
            if (!held.isNone()) {
                owed(revisionAt(due))
                        .values()
                        .forEach(update -> lose(update, "what is held at the end"));
            }
        }

        private void lose(Update update, String where) {
            lost++;
            example(name + ", which holds " + held + ": " + where + " is without " + update);
        }

        private void disorder(String what) {
            disordered++;
            example(name + ": " + what);
        }
    }
}
