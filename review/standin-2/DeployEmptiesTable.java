import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A rolling deploy replaces the replicas, one a second, by successors with new ids. The classes keep to the zone of a sidecar. No
 * sidecar may be without a line to pick while a warm replica of its zone is listed as ready.
 */
final class DeployEmptiesTable {
    private static final List<String> CLASSES = List.of("subset", "licence-use");
    private static final int SALT = 3346;
    private static final int SIDECARS = 12;
    private static final int OWN = 2;
    private static final long NO_LINE_MS = 5_400;
    private static final long SOCKET_SLACK_MS = 300;
    private static final long WARM_MS = 18_000;
    private static final long DEPLOY_AT = 8_000;
    private static final long DEPLOY_MS = 30_000;
    private static final long AWAY_MS = 3_000;
    private static final long END_AT = 55_000;

    private DeployEmptiesTable() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], DeployEmptiesTable::run);
    }

    private static String settings(List<String> zones) {
        return "{\"n_instances\":1,\"my_number\":0,\"my_zone\":\"a\",\"dcs\":[\"" + String.join("\",\"", zones)
                + "\"],\"granularity_us\":5000,"
                + "\"discovery\":\"automatic\",\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\"],\"how\":\"answers\"},"
                + "\"classes\":[{\"name\":\"subset\",\"aim_us\":1200000,\"hard_limit_us\":3000000,\"worth\":1.0,\"late_worth\":0.2,"
                + "\"semantics\":\"retryable\",\"group\":\"all\"},{\"name\":\"licence-use\",\"aim_us\":1200000,"
                + "\"hard_limit_us\":3000000,\"worth\":2.0,\"late_worth\":0.2,\"semantics\":\"fragile\",\"group\":\"all\"}],"
                + "\"domain\":{\"proxy_count\":" + SIDECARS + ",\"channel_rate\":6000.0,\"backlog\":9000.0,"
                + "\"class_own_zone\":[true,true],\"class_writes\":[false,true],"
                + "\"fixed_cost\":3.0,\"late_us\":200000,\"worst_transit_us\":500000,\"update_cap\":0,"
                + "\"update_window_us\":10000000,\"cycle_us\":1000000,\"blackhole_us\":" + NO_LINE_MS * 1000
                + ",\"admission\":\"fraction\",\"slices\":0,\"push_price\":0.02,\"base_mode\":0,\"ejects\":0,\"lb_method\":\"random\"},"
                + "\"ceilings\":{\"idle_close_us\":15000000},\"goal\":{\"worst_class\":0.3},\"prices\":{\"cross_zone\":0.01},"
                + "\"invariants\":{\"drain_grace_us\":3000000,\"start_capacity\":0.19,\"warm_after_us\":" + WARM_MS * 1000
                + ",\"fall_multiple\":4.0,\"fall_us\":1500000}}";
    }

    private static List<String> run() throws Exception {
        SplittableRandom drawn = new SplittableRandom(SALT);
        List<String> zones = List.of("a", "b", "c", "d").subList(0, 2 + drawn.nextInt(2));
        List<String> names = new ArrayList<>();
        for (int i = 0; i < OWN; i++) {
            names.add("a" + i);
        }
        for (String zone : zones.subList(1, zones.size())) {
            int count = 10 + drawn.nextInt(zones.size() == 2 ? 12 : 5);
            for (int i = 0; i < count; i++) {
                names.add(zone + i);
            }
        }
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            double share = Math.exp(drawn.nextDouble() * 3.5 - 0.5);
            sidecars.add(new Sidecar(i, zones.get(i % zones.size()), share, CLASSES));
        }
        List<String> order = new ArrayList<>(names);
        for (int i = order.size() - 1; i > 0; i--) {
            Collections.swap(order, i, drawn.nextInt(i + 1));
        }
        List<Kit.Listed> listed = new ArrayList<>();
        names.forEach(each -> listed.add(new Kit.Listed("s-" + SALT + "-" + each, each.substring(0, 1), "Ready", 0)));
        Kit.Discovery discovery = new Kit.Discovery(listed);
        int port = Kit.freePort();
        Kit.Governor governor =
                new Kit.Governor("n0", port,
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                + "\"known\":" + discovery.whole() + ",\"settings\":" + settings(zones) + "}",
                        "");
        governor.start();
        governor.awaitReady();
        Sidecar.Channel channel = new Sidecar.Channel(6_000, 3, 200);
        World world = new World(sidecars, CLASSES, 0);
        listed.forEach(each -> world.setUp(each.id(), true));
        for (Sidecar each : sidecars) {
            List<String> standing = new ArrayList<>();
            for (Kit.Listed one : listed) {
                if (one.zone().equals(each.zone) && standing.size() < 6) {
                    standing.add(one.id());
                }
            }
            each.restart(standing);
            each.join(port, channel);
        }
        for (String zone : zones) {
            world.connectCollector(zone, port);
        }
        world.start();
        long begin = Kit.now();
        // When a replica of a zone is listed as ready and warm: from, until.
        TreeMap<String, long[]> warm = new TreeMap<>();
        listed.forEach(each -> warm.put(each.id(), new long[] {0, Long.MAX_VALUE}));
        if (Kit.TROUBLE) {
            // All but the last: 97% of 30 replicas, 10% at a time.
            deploy(order.subList(0, order.size() - 1), discovery, world, begin, warm, order.size());
        }
        Kit.sleepUntil(begin + END_AT);
        if (!governor.isAlive()) {
            throw new Kit.NotRun("the governor has ended");
        }
        governor.noteLog("ERROR", "WARN", "s-" + SALT + "-a");
        return check(world, sidecars, warm, begin);
    }

    private static void deploy(List<String> order, Kit.Discovery discovery, World world, long begin, TreeMap<String, long[]> warm,
            int fleet) throws Exception {
        double step = (double) DEPLOY_MS / fleet;
        int away = 0;
        int back = 0;
        while (back < order.size()) {
            long nextAway = away < order.size() ? begin + DEPLOY_AT + (long) (away * step) : Long.MAX_VALUE;
            long nextBack = begin + DEPLOY_AT + (long) (back * step) + AWAY_MS;
            if (nextAway <= nextBack) {
                Kit.sleepUntil(nextAway);
                String name = order.get(away++);
                String id = "s-" + SALT + "-" + name;
                discovery.change(new Kit.Listed(id, name.substring(0, 1), "Terminating", 0));
                warm.get(id)[1] = Kit.now();
            } else {
                Kit.sleepUntil(nextBack);
                String name = order.get(back++);
                String old = "s-" + SALT + "-" + name;
                String id = old + "-2";
                world.setUp(old, false);
                world.setUp(id, true);
                warm.put(id, new long[] {Kit.now() - 1_000 + WARM_MS, Long.MAX_VALUE});
                discovery.change(new Kit.Listed(old, name.substring(0, 1), "Gone", 0),
                        new Kit.Listed(id, name.substring(0, 1), "Ready", System.currentTimeMillis() - 1_000));
            }
        }
    }

    private static List<String> check(World world, List<Sidecar> sidecars, TreeMap<String, long[]> warm, long begin) {
        List<String> broken = new ArrayList<>();
        for (Sidecar sidecar : sidecars) {
            for (String className : CLASSES) {
                long emptySince = -1;
                long longest = 0;
                long longestFrom = 0;
                int refused = 0;
                for (World.Sent each : world.sent()) {
                    if (each.sidecar() != sidecar.number || !each.className().equals(className) || each.atMillis() < begin + 2_000) {
                        continue;
                    }
                    boolean isWarm = warm.entrySet().stream().anyMatch(one -> one.getKey().startsWith("s-" + SALT + "-" + sidecar.zone)
                            && one.getValue()[0] <= each.atMillis() && one.getValue()[1] > each.atMillis());
                    if (each.replica() == null && isWarm) {
                        emptySince = emptySince < 0 ? each.atMillis() : emptySince;
                        refused++;
                        if (each.atMillis() - emptySince > longest) {
                            longest = each.atMillis() - emptySince;
                            longestFrom = emptySince;
                        }
                    } else {
                        emptySince = -1;
                    }
                }
                String text = "sidecar " + sidecar.number + " (zone " + sidecar.zone + ") had no line to pick for " + className + " for "
                        + longest + " ms from " + Kit.seconds(longestFrom) + " on, and refused " + refused + " transactions";
                Kit.note("lines", text + "; its table at the end " + sidecar.lines(className).keySet());
                if (longest > NO_LINE_MS + SOCKET_SLACK_MS) {
                    broken.add(text);
                }
            }
        }
        return broken;
    }
}
