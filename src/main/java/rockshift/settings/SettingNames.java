package rockshift.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rockshift.model.Endpoint;

/**
 * What an instance is told at its start, under our names and in our units. Both hosts read it
 * through here; the names on the outside are known to this class alone. It chooses nothing and
 * fills nothing in: what is not told stays absent, and what is not known is passed over.
 */
public final class SettingNames {
    private static final int MICROS_PER_TENTH = 100;

    /** Names outside to ours. Names that end in _us hold microseconds and become tenths of a ms. */
    private static final Map<String, String> NAMES =
            pairs(
                    "n_instances",
                    "governors",
                    "my_number",
                    "governor",
                    "my_zone",
                    "zone",
                    "dcs",
                    "zones",
                    "classes.count",
                    "classes",
                    "report.names",
                    "load.values",
                    "ceilings.probing",
                    "probing",
                    "ceilings.peers",
                    "fellows",
                    "ceilings.idle_close_us",
                    "idle.close",
                    "domain.admission",
                    "admission",
                    "domain.backlog",
                    "channel.limit",
                    "domain.channel_rate",
                    "channel.pace",
                    "domain.fixed_cost",
                    "message.head",
                    "domain.update_cap",
                    "messages.limit",
                    "domain.update_window_us",
                    "messages.span",
                    "domain.late_us",
                    "transit",
                    "domain.worst_transit_us",
                    "transit.longest",
                    "domain.cycle_us",
                    "report.period",
                    "domain.hears_per_s",
                    "report.pace",
                    "domain.blackhole_us",
                    "bare.limit",
                    "domain.proxy_count",
                    "proxies",
                    "domain.slices",
                    "slices",
                    "domain.try_factor",
                    "again.wait",
                    "domain.base_mode",
                    "again.unset",
                    "domain.ejects",
                    "proxy.patience",
                    "domain.lb_method",
                    "proxy.pick",
                    "discovery",
                    "list.feed",
                    "domain.push_price",
                    "price.orders",
                    "prices.cross_zone",
                    "price.crossing",
                    "goal.worst_class",
                    "goal.worst.class",
                    "granularity_us",
                    "turn.spacing",
                    "invariants.drain_grace_us",
                    "drain.grace",
                    "invariants.start_capacity",
                    "cold.share",
                    "invariants.warm_after_us",
                    "warm.after",
                    "invariants.fall_multiple",
                    "fall.multiple",
                    "invariants.fall_us",
                    "fall.span");

    private static final Map<String, String> CLASS_NAMES =
            pairs(
                    "name",
                    "name",
                    "aim_us",
                    "promised.time",
                    "hard_limit_us",
                    "time.limit",
                    "worth",
                    "benefit",
                    "late_worth",
                    "late.benefit",
                    "semantics",
                    "repeat",
                    "group",
                    "memory.group",
                    "memory_span_us",
                    "memory.span");
    private static final Map<String, String> WORDS =
            Map.of(
                    "retryable",
                    "anywhere",
                    "dedup",
                    "remembered",
                    "fragile",
                    "never",
                    "fraction",
                    "share",
                    "per_second",
                    "rate");
    private static final Map<String, Endpoint.Health> HEALTHS =
            Map.of(
                    "Ready",
                    Endpoint.Health.READY,
                    "Terminating",
                    Endpoint.Health.DRAINING,
                    "Gone",
                    Endpoint.Health.GONE);

    private final Map<String, String> ours = new TreeMap<>();

    private static Map<String, String> pairs(String... names) {
        Map<String, String> map = new HashMap<>();
        for (int i = 0; i < names.length; i += 2) {
            map.put(names[i], names[i + 1]);
        }
        return map;
    }

    /**
     * Takes in one plain value or list of plain values under its outside path, such as
     * classes.0.name.
     */
    public void put(String path, String value) {
        if (path.equals("domain.class_own_zone") && !value.isEmpty()) {
            String[] flags = value.split(",");
            for (int k = 0; k < flags.length; k++) {
                ours.put("class." + k + ".own.zone", flags[k]);
            }
            return;
        }
        String name = NAMES.get(path);
        if (name == null && path.startsWith("classes.")) {
            String[] steps = path.split("\\.", 3);
            String last = steps.length == 3 ? CLASS_NAMES.get(steps[2]) : null;
            name = last == null ? null : "class." + steps[1] + "." + last;
        }
        if (name != null) {
            ours.put(
                    name,
                    path.endsWith("_us")
                            ? inTenths(path, value)
                            : WORDS.getOrDefault(value, value));
        }
    }

    private static String inTenths(String path, String micros) {
        try {
            return Long.toString((long) (Double.parseDouble(micros) / MICROS_PER_TENTH));
        } catch (NumberFormatException wrong) {
            throw new IllegalArgumentException(
                    path + ": a time in microseconds, not '" + micros + "'");
        }
    }

    /** All that was put in, as the plain map that the module reads. */
    public Map<String, String> map() {
        return ours;
    }

    /** A replica's health in the list's words, or null where it is none of them. */
    public static Endpoint.Health health(String word) {
        return HEALTHS.get(word);
    }
}
