import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One zone of two is lost for 5 s with its replicas and sidecars, and comes back, one replica after the other. Then a replica of the
 * other zone is drained. The sidecars of the governor must stop sending to it within the day's grace.
 */
final class DrainBehindReturns {
    private static final List<String> CLASSES = List.of("subset-build", "licence-debit");
    private static final int REPLICAS_PER_ZONE = 18;
    private static final int SIDECARS_PER_ZONE = 6;
    private static final long GRACE_MS = 1_500;
    private static final long SOCKET_SLACK_MS = 300;
    private static final long LOST_AT = 8_000;
    private static final long LOST_FOR = 5_000;
    private static final String DRAINED = "s-b03";

    private DrainBehindReturns() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], DrainBehindReturns::run);
    }

    private static String settings() {
        return "{\"n_instances\":1,\"my_number\":0,\"my_zone\":\"b\",\"dcs\":[\"a\",\"b\"],\"granularity_us\":2000,"
                + "\"discovery\":\"automatic\",\"weight_kind\":\"none\",\"report\":{\"names\":[\"util\",\"queue\"],\"how\":\"answers\"},"
                + "\"classes\":[{\"name\":\"subset-build\",\"aim_us\":1200000,\"hard_limit_us\":3000000,\"worth\":1.0,"
                + "\"late_worth\":0.2,\"semantics\":\"retryable\",\"group\":\"all\"},{\"name\":\"licence-debit\",\"aim_us\":1200000,"
                + "\"hard_limit_us\":3000000,\"worth\":2.0,\"late_worth\":0.1,\"semantics\":\"fragile\",\"group\":\"all\"}],"
                + "\"domain\":{\"proxy_count\":" + 2 * SIDECARS_PER_ZONE + ",\"channel_rate\":2400.0,\"backlog\":2400.0,"
                + "\"fixed_cost\":3.0,\"late_us\":480000,\"worst_transit_us\":1200000,\"update_cap\":20,"
                + "\"update_window_us\":10000000,\"cycle_us\":1000000,\"blackhole_us\":5400000,\"admission\":\"fraction\","
                + "\"slices\":0,\"push_price\":0.02,\"base_mode\":0,\"ejects\":0,\"lb_method\":\"random\",\"hears_per_s\":120.0},"
                + "\"ceilings\":{\"idle_close_us\":15000000},\"goal\":{\"worst_class\":0.1},\"prices\":{\"cross_zone\":0.01},"
                + "\"invariants\":{\"drain_grace_us\":" + GRACE_MS * 1000 + ",\"start_capacity\":0.19,\"warm_after_us\":17000000,"
                + "\"fall_multiple\":4.0,\"fall_us\":3000000}}";
    }

    private static String id(String zone, int number) {
        return String.format("s-%s%02d", zone, number);
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
        Sidecar.Channel channel = new Sidecar.Channel(2_400, 3, 480);
        SplittableRandom random = new SplittableRandom(3);
        List<Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < 2 * SIDECARS_PER_ZONE; i++) {
            sidecars.add(new Sidecar(i, i < SIDECARS_PER_ZONE ? "a" : "b", 10, CLASSES));
        }
        World world = new World(sidecars, CLASSES, 10);
        listed.forEach(each -> world.setUp(each.id(), true));
        for (Sidecar each : sidecars) {
            startSidecar(each, discovery, random, port, channel);
        }
        world.connectCollector("a", port);
        world.connectCollector("b", port);
        world.start();
        long begin = Kit.now();
        Kit.sleepUntil(begin + LOST_AT);
        if (Kit.TROUBLE) {
            loseZone(discovery, world, sidecars, random, port, channel, begin + LOST_AT);
        }
        Kit.sleepUntil(begin + LOST_AT + LOST_FOR + 6_500);
        long generation = discovery.change(new Kit.Listed(DRAINED, "b", "Terminating", 0));
        Kit.sleepUntil(Kit.now() + 8_000);
        long toldAt = discovery.toldAt(generation);
        if (toldAt < 0 || !governor.isAlive()) {
            throw new Kit.NotRun("the governor has not been told of the drain, or has ended");
        }
        governor.noteLog(DRAINED, "ERROR", "WARN");
        return check(world, sidecars, toldAt);
    }

    private static void startSidecar(Sidecar each, Kit.Discovery discovery, SplittableRandom random, int port,
            Sidecar.Channel channel) throws IOException {
        List<String> ready = new ArrayList<>();
        for (Kit.Listed one : discovery.ready()) {
            if (one.zone().equals(each.zone)) {
                ready.add(one.id());
            }
        }
        if (ready.size() < 3) {
            ready.clear();
            discovery.ready().forEach(one -> ready.add(one.id()));
        }
        while (ready.size() > 6) {
            ready.remove(random.nextInt(ready.size()));
        }
        each.restart(ready);
        each.join(port, channel);
    }

    private static void loseZone(Kit.Discovery discovery, World world, List<Sidecar> sidecars, SplittableRandom random, int port,
            Sidecar.Channel channel, long lostAt) throws Exception {
        Kit.note("trouble", "zone a is lost: " + REPLICAS_PER_ZONE + " replicas and " + SIDECARS_PER_ZONE + " sidecars");
        for (int i = 0; i < REPLICAS_PER_ZONE; i++) {
            world.setUp(id("a", i), false);
        }
        for (Sidecar each : sidecars) {
            if (each.zone.equals("a")) {
                each.die();
            }
        }
        Kit.sleepUntil(lostAt + 1_500);
        Kit.Listed[] gone = new Kit.Listed[REPLICAS_PER_ZONE];
        for (int i = 0; i < gone.length; i++) {
            gone[i] = new Kit.Listed(id("a", i), "a", "Gone", 0);
        }
        discovery.change(gone);
        Kit.sleepUntil(lostAt + LOST_FOR);
        Kit.note("trouble", "zone a is back: its sidecars start now, its replicas one after the other, cold");
        for (Sidecar each : sidecars) {
            if (each.zone.equals("a")) {
                startSidecar(each, discovery, random, port, channel);
            }
        }
        for (int i = 0; i < REPLICAS_PER_ZONE; i++) {
            Kit.sleepUntil(lostAt + LOST_FOR + 850 + 300L * i);
            world.setUp(id("a", i), true);
            discovery.change(new Kit.Listed(id("a", i), "a", "Ready", System.currentTimeMillis() - 820));
        }
    }

    private static List<String> check(World world, List<Sidecar> sidecars, long toldAt) {
        List<String> broken = new ArrayList<>();
        TreeMap<Integer, int[]> after = new TreeMap<>();
        TreeMap<Integer, Long> last = new TreeMap<>();
        for (World.Sent each : world.sent()) {
            long limit = Math.max(toldAt, sidecars.get(each.sidecar()).joinedAtMillis()) + GRACE_MS + SOCKET_SLACK_MS;
            if (DRAINED.equals(each.replica()) && each.atMillis() > toldAt) {
                after.computeIfAbsent(each.sidecar(), any -> new int[2])[0]++;
                last.put(each.sidecar(), each.atMillis());
                if (each.atMillis() > limit) {
                    after.get(each.sidecar())[1]++;
                }
            }
        }
        Kit.note("drain", DRAINED + " told at " + Kit.seconds(toldAt) + ", grace " + GRACE_MS + " ms and " + SOCKET_SLACK_MS
                + " ms on sockets");
        after.forEach((sidecar, counts) -> {
            String text = "sidecar " + sidecar + " sent " + counts[0] + " transactions to " + DRAINED
                    + " after the governor was told, " + counts[1] + " of them after the grace, the last "
                    + (last.get(sidecar) - toldAt) + " ms after it was told";
            Kit.note("drain", text);
            if (counts[1] > 0) {
                broken.add(text);
            }
        });
        for (Sidecar each : sidecars) {
            List<Sidecar.Written> written = each.written();
            int most = 0;
            for (int i = 0; i < written.size(); i++) {
                int from = i;
                most = Math.max(most, (int) written.stream()
                        .filter(one -> one.atMillis() >= written.get(from).atMillis()
                                && one.atMillis() < written.get(from).atMillis() + 10_000)
                        .count());
            }
            Kit.note("messages", "sidecar " + each.number + ": at most " + most + " messages within 10 s of its " + written.size());
        }
        return broken;
    }
}
