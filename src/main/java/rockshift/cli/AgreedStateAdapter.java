package rockshift.cli;

import java.util.HashMap;
import java.util.Map;
import rockshift.cluster.Change;
import rockshift.model.Ticks;
import rockshift.server.AgreedChangesReceiver;
import rockshift.settings.SettingsParser;

/** Passes the agreed state to the planner of a controller, in the planner's units. */
final class AgreedStateAdapter {
    private AgreedStateAdapter() {}

    /**
     * Passes the agreed state to the planner, which ignores it if it is older than the planner's.
     *
     * @param drains the drains and holds in force, by replica name
     * @param inForce runs on the planner's thread once the state has taken effect
     */
    static void apply(
            AgreedChangesReceiver receiver,
            long version,
            Map<String, Change> drains,
            Map<String, Double> overrides,
            Runnable inForce) {
        Map<String, Long> latestStartTicks = new HashMap<>();
        // A drain applies to the process that ran when it was proposed, a hold to all processes of
        // that name.
        drains.forEach(
                (name, change) ->
                        latestStartTicks.put(
                                name,
                                change.kind() == Change.Kind.DRAIN && change.started() > 0
                                        ? change.started() * Ticks.TICKS_PER_MILLI
                                                + Ticks.TICKS_PER_MILLI
                                                - 1
                                        : Long.MAX_VALUE));
        receiver.applyAgreed(
                version, latestStartTicks, SettingsParser.overrides(overrides), inForce);
    }
}
