package rockshift.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the observations of a run of many controllers. The expected state consists of the
 * committed changes in the order of their revisions; the states of all controllers are compared
 * with it. Observations of one controller must arrive in order, all others may arrive in any order.
 * It does no I/O and reads no clock.
 *
 * <p>Thread-safe.
 */
public final class ScaleChecker {
    private final CommittedChanges committed = new CommittedChanges();
    private final Map<String, List<Observation.OfController>> byController = new TreeMap<>();
    private long endMillis;

    /** Adds an observation. */
    public synchronized void observe(Observation observation) {
        endMillis = Math.max(endMillis, observation.atMillis());
        if (observation instanceof Observation.Committed change) {
            committed.add(change);
        } else if (observation instanceof Observation.OfController event) {
            byController.computeIfAbsent(event.controller(), name -> new ArrayList<>()).add(event);
        }
    }

    /** Checks all observations; to be called once, at the end of a run. */
    public synchronized ScaleVerdict verdict() {
        ScaleFindings findings = new ScaleFindings();
        byController.forEach(
                (name, observations) ->
                        new ControllerCheck(name, committed, findings)
                                .checkAll(observations, endMillis));
        return findings.verdict(byController.size(), committed.size());
    }
}
