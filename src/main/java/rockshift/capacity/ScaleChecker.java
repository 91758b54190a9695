package rockshift.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks what was seen in a run of many controllers. The expected state is that of the changes that
 * members agreed, in the order of their revisions; all that controllers took is compared with it.
 * Observations of one controller come in their order; all others may come in any. It does no I/O
 * and reads no clock.
 *
 * <p>Thread-safe: any thread may hand in observations.
 */
public final class ScaleChecker {
    private final CommittedChanges committed = new CommittedChanges();
    private final Map<String, List<Observation.OfController>> byController = new TreeMap<>();
    private long endMillis;

    /** Takes in an observation. */
    public synchronized void observe(Observation observation) {
        endMillis = Math.max(endMillis, observation.atMillis());
        if (observation instanceof Observation.Committed change) {
            committed.add(change);
        } else if (observation instanceof Observation.OfController seen) {
            byController.computeIfAbsent(seen.controller(), name -> new ArrayList<>()).add(seen);
        }
    }

    /** Checks all that was seen; called once, at the end of a run. */
    public synchronized ScaleVerdict verdict() {
        ScaleFindings findings = new ScaleFindings();
        byController.forEach(
                (name, seen) ->
                        new ControllerCheck(name, committed, findings).checkAll(seen, endMillis));
        return findings.verdict(byController.size(), committed.size());
    }
}
