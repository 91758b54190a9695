package rockshift.cli;

import java.util.HashMap;
import java.util.Map;
import rockshift.cluster.Change;
import rockshift.model.Ticks;
import rockshift.server.AgreedChangesReceiver;
import rockshift.settings.SettingsParser;

/** Hands the agreed state to the planner of a controller, in the planner's units. */
final class AgreedInput {
    private AgreedInput() {}

    /**
     * Has the planner follow the agreed state; one that is older than the planner's is ignored.
     *
     * @param out drains and holds in force, by replica
     * @param inForce runs on the planner's thread once the state has taken effect
     */
    static void tell(
            AgreedChangesReceiver receiver,
            long version,
            Map<String, Change> out,
            Map<String, Double> terms,
            Runnable inForce) {
        Map<String, Long> until = new HashMap<>();
        // A drain concerns the process that ran when it was proposed; a hold concerns whatever runs
        // under the name.
        out.forEach(
                (name, change) ->
                        until.put(
                                name,
                                change.kind() == Change.Kind.DRAIN && change.started() > 0
                                        ? change.started() * Ticks.TICKS_PER_MILLI
                                                + Ticks.TICKS_PER_MILLI
                                                - 1
                                        : Long.MAX_VALUE));
        receiver.applyAgreed(version, until, SettingsParser.overrides(terms), inForce);
    }
}
