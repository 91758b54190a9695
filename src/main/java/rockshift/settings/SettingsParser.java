package rockshift.settings;

import static java.util.Map.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ObjIntConsumer;
import java.util.function.ObjLongConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import rockshift.model.Ticks;

/**
 * Builds {@link PlannerSettings} from the names and units that the simulator protocol and the
 * configuration file share. Only this class knows those names. Unknown paths are ignored, because
 * deployments add new ones.
 */
public final class SettingsParser {
    /** Path of {@link PlannerSettings#channelQueueLimitEntries}. */
    public static final String CHANNEL_QUEUE_LIMIT = "domain.backlog";

    /** Path of {@link PlannerSettings#channelEntriesPerSecond}. */
    public static final String CHANNEL_RATE = "domain.channel_rate";

    private static final String ZONES = "dcs";
    private static final String CLASS_COUNT = "classes.count";
    private static final Pattern CLASS_SETTING = Pattern.compile("classes\\.(\\d{1,9})\\.(\\w+)");
    private static final String CLASSES_IN_ZONE = "domain.class_own_zone";
    private static final String EXPECTED_PROXIES = "domain.proxy_count";
    private static final String MICROS_SUFFIX = "_us";

    private static final Map<String, BiConsumer<PlannerSettings.Builder, Value>> SETTERS =
            Map.ofEntries(
                    list(ZONES, PlannerSettings.Builder::zones),
                    integer("n_instances", PlannerSettings.Builder::controllerCount),
                    integer(EXPECTED_PROXIES, PlannerSettings.Builder::expectedProxies),
                    entry("domain.slices", (builder, value) -> builder.sharded(value.number() > 0)),
                    number(CHANNEL_RATE, PlannerSettings.Builder::channelEntriesPerSecond),
                    number(CHANNEL_QUEUE_LIMIT, PlannerSettings.Builder::channelQueueLimitEntries),
                    number("domain.fixed_cost", PlannerSettings.Builder::messageOverheadEntries),
                    number("domain.update_cap", PlannerSettings.Builder::messageQuota),
                    ticks(
                            "domain.update_window_us",
                            PlannerSettings.Builder::messageQuotaWindowTicks),
                    ticks("domain.late_us", PlannerSettings.Builder::transitTicks),
                    ticks("domain.worst_transit_us", PlannerSettings.Builder::longestTransitTicks),
                    ticks("domain.cycle_us", PlannerSettings.Builder::reportPeriodTicks),
                    integer("domain.base_mode", PlannerSettings.Builder::defaultRetryMode),
                    entry(
                            "domain.admission",
                            (builder, value) -> builder.admissionMode(admissionMode(value.text()))),
                    ticks("ceilings.idle_close_us", PlannerSettings.Builder::idleCloseTicks),
                    ticks("invariants.drain_grace_us", PlannerSettings.Builder::drainGraceTicks),
                    ticks("domain.blackhole_us", PlannerSettings.Builder::noReplicaLimitTicks),
                    number(
                            "invariants.start_capacity",
                            PlannerSettings.Builder::initialSlowStartFraction),
                    ticks("invariants.warm_after_us", PlannerSettings.Builder::slowStartTicks),
                    number(
                            "invariants.fall_multiple",
                            PlannerSettings.Builder::slowStartOverloadMultiple),
                    number("goal.worst_class", PlannerSettings.Builder::worstClassWeight),
                    number("prices.cross_zone", PlannerSettings.Builder::zoneCrossingPrice),
                    number("domain.push_price", PlannerSettings.Builder::commandPrice),
                    list(
                            "report.names",
                            (builder, names) -> builder.loadMetricNames(Set.copyOf(names))),
                    entry(
                            "discovery",
                            (builder, value) ->
                                    builder.subscribesToDiscovery(
                                            value.text().equals("subscribe"))),
                    ticks("granularity_us", PlannerSettings.Builder::turnSpacingTicks));

    private static final Map<String, BiConsumer<ClassSettings.Builder, Value>> CLASS_SETTERS =
            Map.ofEntries(
                    entry("name", (builder, value) -> builder.name(value.text())),
                    ticks("aim_us", ClassSettings.Builder::latencyObjectiveTicks),
                    ticks("hard_limit_us", ClassSettings.Builder::timeoutTicks),
                    number("worth", ClassSettings.Builder::priorityWeight));

    private final PlannerSettings.Builder settings = PlannerSettings.newBuilder();
    private final TreeMap<Integer, ClassSettings.Builder> classes = new TreeMap<>();
    private final Set<String> givenPaths = new HashSet<>();
    private List<String> restrictedToOwnZoneByClass = List.of();
    private int classCount;

    /** Returns the path of the name of a class. */
    public static String classNamePath(int number) {
        return "classes." + number + ".name";
    }

    /**
     * Returns the overrides that are among the agreed values, whose keys are the names in the
     * agreed log and in commands. Other names are ignored.
     */
    public static SettingOverrides overrides(Map<String, Double> agreed) {
        return new SettingOverrides(
                optional(agreed.get("price.crossing")),
                optional(agreed.get("price.orders")),
                optional(agreed.get("goal.worst.class")));
    }

    /**
     * Sets the value of a path such as classes.0.name: a scalar, or scalars separated by commas.
     *
     * @throws InvalidSettingException if the value cannot be parsed
     */
    public void put(String path, String text) {
        Value value = new Value(path, text);
        Matcher classMatcher = CLASS_SETTING.matcher(path);
        boolean absent = text.isEmpty() && !value.isTime() && !classMatcher.matches();
        if (!absent || path.equals(ZONES)) {
            givenPaths.add(path);
        }
        if (absent) {
            return;
        } else if (classMatcher.matches()) {
            putClassSetting(Integer.parseInt(classMatcher.group(1)), classMatcher.group(2), value);
        } else if (path.equals(CLASS_COUNT)) {
            classCount = value.count();
        } else if (path.equals(CLASSES_IN_ZONE)) {
            restrictedToOwnZoneByClass = value.list();
        } else if (SETTERS.containsKey(path)) {
            SETTERS.get(path).accept(settings, value);
        }
    }

    private void putClassSetting(int number, String name, Value value) {
        if (CLASS_SETTERS.containsKey(name)) {
            CLASS_SETTERS
                    .get(name)
                    .accept(
                            classes.computeIfAbsent(number, absent -> new ClassSettings.Builder()),
                            value);
        }
    }

    /**
     * Checks that the settings are present that a controller needs outside the simulator.
     *
     * @throws InvalidSettingException for the first missing setting
     */
    public void requireDeployment() {
        require("zones", ZONES);
        require("classes", CLASS_COUNT);
        require("proxies", EXPECTED_PROXIES);
    }

    private void require(String field, String path) {
        if (!givenPaths.contains(path)) {
            throw new InvalidSettingException(field, "is missing");
        }
    }

    /**
     * Returns the settings. Those that have not been put have their defaults.
     *
     * @throws InvalidSettingException for the first missing or invalid setting
     */
    public PlannerSettings build() {
        return settings.classes(IntStream.range(0, classCount).mapToObj(this::build).toList())
                .build();
    }

    private ClassSettings build(int number) {
        require(ClassNames.field(number), classNamePath(number));
        boolean restricted =
                number < restrictedToOwnZoneByClass.size()
                        && Boolean.parseBoolean(restrictedToOwnZoneByClass.get(number));
        return classes.get(number).restrictedToOwnZone(restricted).build();
    }

    private static AdmissionMode admissionMode(String name) {
        return switch (name) {
            case "fraction" -> AdmissionMode.FRACTION;
            case "per_second" -> AdmissionMode.RATE_PER_SECOND;
            default -> AdmissionMode.NONE;
        };
    }

    private static OptionalDouble optional(Double value) {
        return value == null ? OptionalDouble.empty() : OptionalDouble.of(value);
    }

    private static <T> Map.Entry<String, BiConsumer<T, Value>> number(
            String path, ObjDoubleConsumer<T> setter) {
        return entry(path, (builder, value) -> setter.accept(builder, value.number()));
    }

    private static <T> Map.Entry<String, BiConsumer<T, Value>> integer(
            String path, ObjIntConsumer<T> setter) {
        return entry(path, (builder, value) -> setter.accept(builder, value.integer()));
    }

    private static <T> Map.Entry<String, BiConsumer<T, Value>> ticks(
            String path, ObjLongConsumer<T> setter) {
        return entry(path, (builder, value) -> setter.accept(builder, value.ticks()));
    }

    private static <T> Map.Entry<String, BiConsumer<T, Value>> list(
            String path, BiConsumer<T, List<String>> setter) {
        return entry(path, (builder, value) -> setter.accept(builder, value.list()));
    }

    /** One value as text, with its path for error messages. */
    private record Value(String path, String text) {
        boolean isTime() {
            return path.endsWith(MICROS_SUFFIX);
        }

        List<String> list() {
            return List.of(text.split(","));
        }

        double number() {
            return parse("must be a number >= 0");
        }

        /** Returns the number with its fraction cut off. */
        int integer() {
            return (int) number();
        }

        int count() {
            try {
                return Integer.parseUnsignedInt(text);
            } catch (NumberFormatException malformed) {
                throw invalid("must be a whole number >= 0");
            }
        }

        /** Returns a time that is given in microseconds, rounded down to whole ticks. */
        long ticks() {
            return (long) (parse("must be a time >= 0 in microseconds") / Ticks.MICROS_PER_TICK);
        }

        private double parse(String expected) {
            try {
                double number = Double.parseDouble(text);
                if (number >= 0) {
                    return number;
                }
            } catch (NumberFormatException malformed) {
                throw invalid(expected);
            }
            throw invalid(expected);
        }

        private InvalidSettingException invalid(String expected) {
            return new InvalidSettingException(path, expected + ", got '" + text + "'");
        }
    }
}
