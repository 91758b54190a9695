package rockshift.cli;

import java.util.HashMap;
import java.util.Map;
import rockshift.cluster.Change;
import rockshift.server.AgreedChangesReceiver;
import rockshift.settings.SettingsParser;

/** Hands what is agreed to the module of a governor, in the module's units. */
final class AgreedInput {
    private static final long TENTHS_PER_MILLI = 10;

    private AgreedInput() {}

    /**
     * Has the module go by what is agreed; it leaves an older version than it knows.
     *
     * @param out drains and holds in force, by replica
     * @param inForce is run on the module's thread once it has taken effect
     */
    static void tell(
            AgreedChangesReceiver receiver,
            long version,
            Map<String, Change> out,
            Map<String, Double> terms,
            Runnable inForce) {
        Map<String, Long> until = new HashMap<>();
        // A drain means the process that ran when it was asked for; a hold means whatever runs
        // under the
        // name.
        out.forEach(
                (name, change) ->
                        until.put(
                                name,
                                change.kind() == Change.Kind.DRAIN && change.started() > 0
                                        ? change.started() * TENTHS_PER_MILLI + TENTHS_PER_MILLI - 1
                                        : Long.MAX_VALUE));
        receiver.applyAgreed(version, until, SettingsParser.overrides(terms), inForce);
    }
}
