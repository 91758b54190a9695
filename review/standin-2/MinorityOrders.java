import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Three governors agree by consensus. Two of them are killed at once. The sidecars of the killed ones dial the third, which cannot
 * reach the others and knows it. It must issue no new orders, and the sidecars must keep their last tables.
 */
final class MinorityOrders {
    private static final List<String> CLASSES = List.of("subset", "licence-use");
    private static final int REPLICAS = 8;
    private static final int SIDECARS_PER_GOVERNOR = 3;
    private static final long ELECTION_MS = 500;

    /** A member knows that it has lost the others at the latest two election times after it last heard of them. */
    private static final long NOTICE_MS = 4 * ELECTION_MS;

    private static final long REDIAL_MS = 2_100;
    private static final long DOWN_MS = 8_000;

    private MinorityOrders() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], MinorityOrders::run);
    }

    private static String settings(int number) {
        return "{\"n_instances\":3,\"my_number\":" + number + ",\"my_zone\":\"hall-a\",\"dcs\":[\"hall-a\"],\"granularity_us\":5000,"
                + "\"discovery\":\"automatic\",\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\"],\"how\":\"answers\"},"
                + "\"classes\":[{\"name\":\"subset\",\"aim_us\":1000000,\"hard_limit_us\":2500000,\"worth\":2.0,\"late_worth\":0.2,"
                + "\"semantics\":\"retryable\",\"group\":\"all\"},{\"name\":\"licence-use\",\"aim_us\":1200000,"
                + "\"hard_limit_us\":3000000,\"worth\":3.0,\"late_worth\":0.2,\"semantics\":\"fragile\",\"group\":\"all\"}],"
                + "\"domain\":{\"proxy_count\":" + 3 * SIDECARS_PER_GOVERNOR + ",\"channel_rate\":6100.0,\"backlog\":9200.0,"
                + "\"fixed_cost\":3.0,\"late_us\":100000,\"worst_transit_us\":250000,\"update_cap\":20,"
                + "\"update_window_us\":10000000,\"cycle_us\":1000000,\"blackhole_us\":5400000,\"admission\":\"fraction\","
                + "\"slices\":0,\"push_price\":0.02,\"base_mode\":0,\"ejects\":0,\"lb_method\":\"random\"},"
                + "\"ceilings\":{\"idle_close_us\":15000000},\"goal\":{\"worst_class\":0.3},\"prices\":{\"cross_zone\":0.01},"
                + "\"invariants\":{\"drain_grace_us\":3000000,\"start_capacity\":0.19,\"warm_after_us\":18000000,"
                + "\"fall_multiple\":4.0,\"fall_us\":1500000}}";
    }

    private static List<String> run() throws Exception {
        List<Kit.Listed> listed = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            listed.add(new Kit.Listed("s-" + i, "hall-a", "Ready", 0));
        }
        List<Kit.Discovery> discoveries = new ArrayList<>();
        List<Kit.Governor> governors = new ArrayList<>();
        int[] ports = new int[3];
        int[] memberPorts = new int[3];
        for (int i = 0; i < 3; i++) {
            ports[i] = Kit.freePort();
            memberPorts[i] = Kit.freePort();
        }
        for (int i = 0; i < 3; i++) {
            Kit.Discovery discovery = new Kit.Discovery(listed);
            discoveries.add(discovery);
            governors.add(
                    new Kit.Governor("n" + i, ports[i],
                            "{\"name\":\"n" + i + "\",\"listen\":\"127.0.0.1:" + ports[i] + "\",\"discovery\":\"127.0.0.1:"
                                    + discovery.port() + "\",\"seed\":\"8c1f30d27a5be96" + i
                                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                                    + discovery.whole() + ",\"settings\":" + settings(i) + "}",
                            " --operator " + operatorFile(i, memberPorts)));
        }
        for (Kit.Governor each : governors) {
            each.start();
        }
        for (Kit.Governor each : governors) {
            each.awaitReady();
        }
        awaitQuorum(governors);
        List<Sidecar> all = new ArrayList<>();
        List<Sidecar.Channel> channels = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Sidecar.Channel channel = new Sidecar.Channel(6_100, 3, 100);
            channels.add(channel);
            List<Sidecar> own = new ArrayList<>();
            for (int k = 0; k < SIDECARS_PER_GOVERNOR; k++) {
                Sidecar sidecar = new Sidecar(i * SIDECARS_PER_GOVERNOR + k, "hall-a", 10, CLASSES);
                sidecar.restart(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"));
                own.add(sidecar);
            }
            all.addAll(own);
            World world = new World(own, CLASSES, 8 + 4 * i);
            listed.forEach(each -> world.setUp(each.id(), true));
            for (Sidecar each : own) {
                each.join(ports[i], channel);
            }
            world.connectCollector("hall-a", ports[i]);
            world.start();
        }
        Thread.sleep(12_000);
        List<Sidecar> moved = all.subList(SIDECARS_PER_GOVERNOR, 3 * SIDECARS_PER_GOVERNOR);
        Map<Integer, String> before = new TreeMap<>();
        long killedAt = Kit.now();
        if (Kit.TROUBLE) {
            governors.get(1).kill();
            governors.get(2).kill();
        }
        Thread.sleep(REDIAL_MS);
        for (Sidecar each : moved) {
            before.put(each.number, shares(each));
            each.leave();
            each.join(ports[0], channels.get(0));
        }
        Thread.sleep(1_500);
        status(memberPorts[0]);
        Kit.sleepUntil(killedAt + DOWN_MS);
        long restartedAt = Kit.now();
        if (Kit.TROUBLE) {
            governors.get(1).start();
            governors.get(2).start();
            governors.get(1).awaitReady();
            governors.get(2).awaitReady();
        }
        Thread.sleep(2_000);
        if (!governors.get(0).isAlive()) {
            throw new Kit.NotRun("n0 has ended");
        }
        for (Kit.Governor each : governors) {
            each.noteLog("quorum contact", "leads in term", "following leader", "ERROR");
        }
        List<String> broken = new ArrayList<>();
        if (Kit.TROUBLE) {
            for (Sidecar each : all) {
                check(each, killedAt + NOTICE_MS, restartedAt, before.get(each.number), broken);
            }
        }
        return broken;
    }

    private static String operatorFile(int member, int[] memberPorts) throws IOException {
        Path file = Kit.folder().resolve("operator" + member + ".hcl");
        StringBuilder text = new StringBuilder("cluster {\n  name = \"n" + member + "\"\n  listen = \"127.0.0.1:" + memberPorts[member]
                + "\"\n  folder = \"" + Kit.folder().resolve("d" + member) + "\"\n  election = \"" + ELECTION_MS
                + "ms\"\n  heartbeat = \"100ms\"\n  minority = \"withdraw\"\n");
        for (int i = 0; i < memberPorts.length; i++) {
            text.append("  founder \"n" + i + "\" { address = \"127.0.0.1:" + memberPorts[i] + "\" }\n");
        }
        Files.writeString(file, text.append("}\n"));
        return file.toString();
    }

    private static void awaitQuorum(List<Kit.Governor> governors) throws Exception {
        long until = Kit.now() + 30_000;
        for (Kit.Governor each : governors) {
            while (!each.log().contains("quorum contact established")) {
                if (Kit.now() > until) {
                    throw new Kit.NotRun(each.name + " has no quorum: " + each.log());
                }
                Thread.sleep(100);
            }
        }
        Kit.note("governor", "all three have contact with a quorum");
    }

    /** Asks n0 for its status, by the project's own command. */
    private static void status(int memberPort) throws Exception {
        Process status =
                new ProcessBuilder("java", "-jar", "target/rockshift.jar", "cluster", "status", "--json", "--at",
                                "127.0.0.1:" + memberPort)
                        .redirectErrorStream(true).start();
        Kit.note("n0 status", new String(status.getInputStream().readAllBytes()).trim());
        status.waitFor();
    }

    /** The share of each replica in a sidecar's table for the first class. */
    private static String shares(Sidecar sidecar) {
        Map<String, Double> lines = sidecar.lines(CLASSES.get(0));
        double sum = lines.values().stream().mapToDouble(each -> each).sum();
        List<String> shares = new ArrayList<>();
        lines.forEach((replica, weight) -> shares.add(replica + " " + String.format(Locale.ROOT, "%.3f", weight / sum)));
        return String.join(", ", shares);
    }

    private static void check(Sidecar sidecar, long from, long until, String before, List<String> broken) {
        int orders = 0;
        long first = -1;
        for (Sidecar.Written each : sidecar.written()) {
            boolean sendsTraffic = each.text().contains(" whole 1 ") || each.text().matches(".* lines (?!.*:0(\\.0)?([ ,]|$)).*")
                    || each.text().contains(" level ") || each.text().contains(" back ");
            if (each.atMillis() > from && each.atMillis() < until && sendsTraffic) {
                orders++;
                first = first < 0 ? each.atMillis() : first;
            }
        }
        Kit.note("orders", "sidecar " + sidecar.number + ": " + orders + " new orders of n0 between " + Kit.seconds(from) + " and "
                + Kit.seconds(until) + ", in which it cannot reach the others");
        if (orders > 0) {
            Kit.note("orders", "sidecar " + sidecar.number + " held for " + CLASSES.get(0) + ": " + before);
            Kit.note("orders", "sidecar " + sidecar.number + " has now for " + CLASSES.get(0) + ": " + shares(sidecar));
            broken.add("sidecar " + sidecar.number + " was sent " + orders + " new orders by n0, the first at " + Kit.seconds(first));
        }
    }
}
