import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * A zone is cut off for 10 s, so that discovery drops its replicas. Its sidecars come back before the list has the replicas again,
 * and are told to shut them out. The governor dies before it can let them back, and starts again with its last list. The classes
 * keep to the zone of a sidecar, and must have a line to pick again within the time of the settings.
 */
final class ShutOutForgotten {
    private static final List<String> CLASSES = List.of("subset-build", "licence-debit");
    private static final int REPLICAS_PER_ZONE = 6;
    private static final int SIDECARS_PER_ZONE = 4;
    private static final long NO_LINE_MS = 5_400;
    private static final long SOCKET_SLACK_MS = 300;

    private ShutOutForgotten() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], ShutOutForgotten::run);
    }

    private static String settings() {
        return "{\"n_instances\":1,\"my_number\":0,\"my_zone\":\"b\",\"dcs\":[\"a\",\"b\"],\"granularity_us\":2000,"
                + "\"discovery\":\"automatic\",\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\",\"queue\"],\"how\":\"answers\"},"
                + "\"classes\":[{\"name\":\"subset-build\",\"aim_us\":1200000,\"hard_limit_us\":3000000,\"worth\":1.0,"
                + "\"late_worth\":0.2,\"semantics\":\"retryable\",\"group\":\"all\"},{\"name\":\"licence-debit\",\"aim_us\":1200000,"
                + "\"hard_limit_us\":3000000,\"worth\":2.0,\"late_worth\":0.1,\"semantics\":\"fragile\",\"group\":\"all\"}],"
                + "\"domain\":{\"proxy_count\":" + 2 * SIDECARS_PER_ZONE + ",\"channel_rate\":2400.0,\"backlog\":2400.0,"
                + "\"class_own_zone\":[true,true],\"class_writes\":[false,true],"
                + "\"fixed_cost\":3.0,\"late_us\":200000,\"worst_transit_us\":500000,\"update_cap\":30,"
                + "\"update_window_us\":10000000,\"cycle_us\":1000000,\"blackhole_us\":" + NO_LINE_MS * 1000
                + ",\"admission\":\"fraction\","
                + "\"slices\":0,\"push_price\":0.12,\"base_mode\":0,\"ejects\":0,\"lb_method\":\"random\",\"hears_per_s\":120.0},"
                + "\"ceilings\":{\"idle_close_us\":15000000},\"goal\":{\"worst_class\":0.1},\"prices\":{\"cross_zone\":0.06},"
                + "\"invariants\":{\"drain_grace_us\":1500000,\"start_capacity\":0.19,\"warm_after_us\":17000000,"
                + "\"fall_multiple\":4.0,\"fall_us\":3000000}}";
    }

    private static String id(String zone, int number) {
        return String.format("s-%s%02d", zone, number);
    }

    private static Kit.Listed[] zoneA(String lifecycle) {
        Kit.Listed[] entries = new Kit.Listed[REPLICAS_PER_ZONE];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = new Kit.Listed(id("a", i), "a", lifecycle, 0);
        }
        return entries;
    }

    private static List<String> run() throws Exception {
        List<Kit.Listed> listed = new ArrayList<>();
        for (String zone : List.of("a", "b")) {
            for (int i = 0; i < REPLICAS_PER_ZONE; i++) {
                listed.add(new Kit.Listed(id(zone, i), zone, "Ready", 0));
            }
        }
        Kit.Discovery discovery = new Kit.Discovery(listed);
        int port = Kit.freePort();
        Kit.Governor governor =
                new Kit.Governor("n0", port,
                        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery.port()
                                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                + "\"known\":" + discovery.whole() + ",\"settings\":" + settings() + "}",
                        "");
        governor.start();
        governor.awaitReady();
        Sidecar.Channel channel = new Sidecar.Channel(2_400, 3, 200);
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 2 * SIDECARS_PER_ZONE; i++) {
            sidecars.add(new Sidecar(i, i < SIDECARS_PER_ZONE ? "a" : "b", 8, CLASSES));
        }
        World world = new World(sidecars, CLASSES, 8);
        listed.forEach(each -> world.setUp(each.id(), true));
        for (Sidecar each : sidecars) {
            TreeSet<String> standing = new TreeSet<>();
            for (int i = 0; i < REPLICAS_PER_ZONE; i++) {
                standing.add(id(each.zone, i));
            }
            each.restart(standing);
            each.join(port, channel);
        }
        world.connectCollector("a", port);
        world.connectCollector("b", port);
        world.start();
        long begin = Kit.now();
        List<Sidecar> cutOff = sidecars.subList(0, SIDECARS_PER_ZONE);
        Kit.sleepUntil(begin + 8_000);
        long readyAgain = Kit.now();
        if (Kit.TROUBLE) {
            Kit.note("trouble", "zone a is cut off: transactions and streams");
            world.cut("a");
            cutOff.forEach(Sidecar::fallSilent);
            Kit.sleepUntil(begin + 14_500);
            discovery.change(zoneA("Gone"));
            Kit.sleepUntil(begin + 18_000);
            world.cut(null);
            Kit.note("trouble", "zone a is no longer cut off");
            Kit.sleepUntil(begin + 18_600);
            for (Sidecar each : cutOff) {
                each.join(port, channel);
            }
            // Long enough for the messages to reach the sidecars, and shorter than the list takes to add replicas.
            Kit.sleepUntil(begin + 19_700);
            governor.kill();
            Kit.sleepUntil(begin + 20_200);
            discovery.change(zoneA("Ready"));
            Kit.sleepUntil(begin + 22_400);
            governor.start();
            governor.awaitReady();
            readyAgain = Kit.now();
            Thread.sleep(500);
            for (Sidecar each : sidecars) {
                each.leave();
                each.join(port, channel);
            }
            world.connectCollector("a", port);
            world.connectCollector("b", port);
        }
        Kit.sleepUntil(begin + 40_000);
        if (!governor.isAlive()) {
            throw new Kit.NotRun("the governor has ended");
        }
        governor.noteLog("endpoint", "ERROR", "WARN");
        return check(world, sidecars, readyAgain + 1_000);
    }

    private static List<String> check(World world, List<Sidecar> sidecars, long from) {
        List<String> broken = new ArrayList<>();
        for (Sidecar sidecar : sidecars) {
            for (String className : CLASSES) {
                long emptySince = -1;
                long longest = 0;
                int refused = 0;
                for (World.Sent each : world.sent()) {
                    boolean counts = each.sidecar() == sidecar.number && each.className().equals(className)
                            && each.atMillis() >= Math.max(from, sidecar.joinedAtMillis());
                    if (counts && each.replica() == null) {
                        emptySince = emptySince < 0 ? each.atMillis() : emptySince;
                        longest = Math.max(longest, each.atMillis() - emptySince);
                        refused++;
                    } else if (counts) {
                        emptySince = -1;
                    }
                }
                String text = "sidecar " + sidecar.number + " (zone " + sidecar.zone + ") had no line to pick for " + className + " for "
                        + longest + " ms, and refused " + refused + " transactions; its table " + sidecar.lines(className).keySet()
                        + ", shut out " + sidecar.out();
                Kit.note("lines", text);
                if (longest > NO_LINE_MS + SOCKET_SLACK_MS) {
                    broken.add(text);
                }
            }
        }
        return broken;
    }
}
