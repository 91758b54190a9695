package rockshift.capacity;

import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * The size of what one controller serves. The protocol of controllers knows classes of requests and
 * no services.
 */
public record FleetShape(int replicas, int classes, int proxies, int zones) {
    /**
     * Lines a second and lines that may wait at the channel of a deployment with 16 proxies, and
     * what grows beside them.
     */
    private static final double CHANNEL_RATE = 6_100;

    private static final double CHANNEL_BACKLOG = 9_200;
    private static final int CHANNEL_PROXIES = 16;

    /** Lines that each proxy's first table may take of the channel. */
    private static final double LINES_PER_PROXY = 60;

    /** Descriptors that the controller uses beside its proxies' and collectors' streams. */
    private static final int OWN_DESCRIPTORS = 200;

    /** The zones by name. */
    public List<String> zoneNames() {
        return IntStream.range(0, zones).mapToObj(i -> "zone-" + i).toList();
    }

    /** A class by name. */
    public static String className(int number) {
        return "class-" + number;
    }

    /** The controller's file: the settings of {@code example/governor.json} at this size. */
    String configuration(int discoveryPort, String known) {
        double more = LINES_PER_PROXY * Math.max(0, proxies - CHANNEL_PROXIES);
        StringBuilder kinds = new StringBuilder();
        for (int i = 0; i < classes; i++) {
            kinds.append(i == 0 ? "" : ",")
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
                kinds,
                proxies,
                CHANNEL_RATE + more,
                CHANNEL_BACKLOG + more,
                FleetSimulator.REPORT_MILLIS * 1_000L);
    }
}
