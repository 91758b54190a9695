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
    private static final List<String> CLASSES = Cluster.CLASSES;
    private static final int REPLICAS = 9;
    private static final int SIDECARS_PER_GOVERNOR = 3;
    /** A member knows that it has lost the others at the latest two election times after it last heard of them. */
    private static final long NOTICE_MS = 4 * Cluster.ELECTION_MS;

    private static final long REDIAL_MS = 2_100;
    private static final long DOWN_MS = 8_000;

    private MinorityOrders() {}

    public static void main(String[] arguments) {
        Kit.main(arguments[0], MinorityOrders::run);
    }

    private static List<String> run() throws Exception {
        List<Kit.Listed> listed = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            listed.add(new Kit.Listed("s-" + i, Cluster.HALLS.get(i % 3), "Ready", 0));
        }
        Cluster cluster = new Cluster(listed, 3 * SIDECARS_PER_GOVERNOR);
        List<Kit.Governor> governors = cluster.governors;
        List<Sidecar> all = new ArrayList<>();
        List<Sidecar.Channel> channels = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Sidecar.Channel channel = new Sidecar.Channel(6_100, 3, 100);
            channels.add(channel);
            List<Sidecar> own = new ArrayList<>();
            for (int k = 0; k < SIDECARS_PER_GOVERNOR; k++) {
                Sidecar sidecar = new Sidecar(i * SIDECARS_PER_GOVERNOR + k, Cluster.HALLS.get(i), 10, CLASSES);
                sidecar.restart(List.of("s-0", "s-1", "s-2", "s-3", "s-4", "s-5"));
                own.add(sidecar);
            }
            all.addAll(own);
            World world = new World(own, CLASSES, 8 + 4 * i);
            listed.forEach(each -> world.setUp(each.id(), true));
            for (Sidecar each : own) {
                each.join(cluster.ports[i], channel);
            }
            world.connectCollector(Cluster.HALLS.get(i), cluster.ports[i]);
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
            each.join(cluster.ports[0], channels.get(0));
        }
        Thread.sleep(1_500);
        cluster.command(0, "status", "--json");
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
