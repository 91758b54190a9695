package rockshift.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * The size of the fleet that one controller serves. The protocol of controllers has request classes
 * but no services.
 */
public record FleetShape(int replicas, int classes, int proxies, int zones) {
    /**
     * The rate and the queue limit of the channel in a deployment with 16 proxies. Both grow with
     * the number of further proxies.
     */
    private static final double CHANNEL_ENTRIES_PER_SECOND = 6_100;

    private static final double CHANNEL_QUEUE_LIMIT_ENTRIES = 9_200;
    private static final int CHANNEL_PROXIES = 16;

    /** The channel entries that the first table of each further proxy may use. */
    private static final double ENTRIES_PER_PROXY = 60;

    /** The descriptors that the controller uses besides its proxies' and collectors' streams. */
    private static final int OWN_DESCRIPTORS = 200;

    /** The names of the zones. */
    public List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(i -> "zone-" + i).toList();
    }

    /** The name of a request class. */
    public static String className(int number) {
        return "class-" + number;
    }

    /**
     * Returns a controller's configuration file, with the settings of {@code example/governor.json}
     * at this size.
     *
     * @param known the initial list of replicas as JSON
     */
    String configuration(int discoveryPort, String known) {
        double extraEntries = ENTRIES_PER_PROXY * Math.max(0, proxies - CHANNEL_PROXIES);
        StringBuilder classesJson = new StringBuilder();
        for (int i = 0; i < classes; i++) {
            classesJson
                    .append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(className(i))
                    .append(
                            "\",\"aim_us\":1000000,"
                                    + "\"hard_limit_us\":2500000,\"worth\":2.0,\"late_worth\":0.2,"
                                    + "\"semantics\":\"retryable\",\"group\":\"all\"}");
        }
        return String.format(
                Locale.ROOT,
                "{\"name\":\"g0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:%d\","
                    + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":%d},\"known\":%s,"
                    + "\"settings\":{\"n_instances\":1,"
                    + "\"my_number\":0,\"my_zone\":\"zone-0\",\"dcs\":[\"%s\"],"
                    + "\"granularity_us\":5000,\"discovery\":\"automatic\","
                    + "\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\"]},\"classes\":[%s],"
                    + "\"domain\":{\"proxy_count\":%d,"
                    + "\"channel_rate\":%.0f,\"backlog\":%.0f,\"fixed_cost\":3.0,\"late_us\":220000,"
                    + "\"update_cap\":20,"
                    + "\"update_window_us\":10000000,\"cycle_us\":%d,\"blackhole_us\":5400000,"
                    + "\"admission\":\"fraction\","
                    + "\"slices\":0,\"push_price\":0.02},\"ceilings\":{\"idle_close_us\":15000000},"
                    + "\"goal\":{\"worst_class\":0.3},"
                    + "\"prices\":{\"cross_zone\":0.01},\"invariants\":{\"drain_grace_us\":3100000,"
                    + "\"start_capacity\":0.19,"
                    + "\"warm_after_us\":18000000,\"fall_multiple\":4.0,\"fall_us\":1500000}}}",
                discoveryPort,
                proxies + zones + OWN_DESCRIPTORS,
                known,
                String.join("\",\"", zoneNames()),
                classesJson,
                proxies,
                CHANNEL_ENTRIES_PER_SECOND + extraEntries,
                CHANNEL_QUEUE_LIMIT_ENTRIES + extraEntries,
                FleetSimulator.REPORT_MILLIS * 1_000L);
    }
}
