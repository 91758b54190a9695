import java.nio.file.Path;
import java.util.List;

/**
 * Most members of the cluster are down, so that one controller is without a quorum; then a zone is
 * lost for 5 s and returns cold. Checks that the proxies of that zone have a line to pick again once
 * its replicas are warm.
 */
final class ZoneLostInMinority {
    private static final int BLACKHOLE_MS = 5_400;
    private static final int WARM_AFTER_MS = 18_000;
    private static final int SOCKET_SLACK_MS = 300;
    private static final int ZONE_LOST_MS = 5_000;
    private static final int WATCHED_MS = 40_000;
    private static final List<String> CLASSES = List.of("subset", "licence-use");

    private ZoneLostInMinority() {}

    public static void main(String[] arguments) throws Exception {
        String trouble = System.getenv().getOrDefault("TROUBLE", "1");
        int status = 2;
        try (Stand.Record record = new Stand.Record(Path.of(arguments[0]));
                Stand.Cluster cluster = new Stand.Cluster(record, 10,
                        settings -> settings.replace("\"slices\": 0",
                                "\"slices\": 0, \"class_own_zone\": [true, true]"))) {
            try {
                status = cluster.start() ? play(cluster, record, trouble) : 2;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
            }
            cluster.recordLog("n1", "quorum contact");
            cluster.recordLog("n1", "controlScope");
            record.add("exit %d", status);
        }
        System.exit(Stand.exitCode(status));
    }

    private static int play(Stand.Cluster cluster, Stand.Record record, String trouble)
            throws Exception {
        Stand.Governor first = cluster.governors.get(0);
        try (Stand.Fleet fleet = new Stand.Fleet(record, cluster.discovery, 2_000, 6)) {
            for (int i = 0; i < 8; i++) {
                fleet.proxies.add(new Stand.Proxy(i, i % 2 == 0 ? "hall-a" : "hall-b", CLASSES, fleet,
                        first.port, i % 2 == 0 ? List.of("s-0", "s-2") : List.of("s-1", "s-3")));
            }
            fleet.collect("hall-a", first.port);
            fleet.collect("hall-b", first.port);
            Clients clients = new Clients(fleet);
            Thread sender = Stand.daemon(clients);
            sender.start();
            Thread.sleep(6_000);
            if (trouble.equals("1")) {
                record.add("most members are down: n2 and n3 are killed");
                cluster.governors.get(1).kill();
                cluster.governors.get(2).kill();
                Thread.sleep(5_000);
            }
            long lostAt = Stand.now();
            long backAt = Long.MAX_VALUE / 2;
            if (!trouble.equals("0")) {
                record.add("zone hall-b is lost: its replicas, and its proxies' streams");
                for (Stand.Replica replica : cluster.discovery.replicas.values()) {
                    if (replica.zone.equals("hall-b")) {
                        cluster.discovery.change(replica, "Gone", replica.startedAtMs);
                    }
                }
                for (Stand.Proxy proxy : fleet.proxies) {
                    if (proxy.zone.equals("hall-b")) {
                        proxy.breakStream();
                    }
                }
                Thread.sleep(ZONE_LOST_MS);
                record.add("zone hall-b returns, cold");
                backAt = Stand.now();
                for (Stand.Replica replica : cluster.discovery.replicas.values()) {
                    if (replica.zone.equals("hall-b")) {
                        cluster.discovery.change(replica, "Ready", System.currentTimeMillis());
                    }
                }
            }
            // Per proxy and class: since when it has had no line while its zone has a warm replica.
            long[][] without = new long[fleet.proxies.size()][CLASSES.size()];
            long longest = 0;
            for (long end = Stand.now() + WATCHED_MS; Stand.now() < end; Thread.sleep(50)) {
                long now = Stand.now();
                for (Stand.Proxy proxy : fleet.proxies) {
                    boolean warm = proxy.zone.equals("hall-a") || now < lostAt
                            || trouble.equals("0") || now >= backAt + WARM_AFTER_MS;
                    for (int k = 0; k < CLASSES.size(); k++) {
                        boolean counts = warm && proxy.joinedAt >= 0 && !proxy.hasLine(CLASSES.get(k));
                        if (!counts) {
                            without[proxy.number][k] = 0;
                        } else if (without[proxy.number][k] == 0) {
                            without[proxy.number][k] = now;
                            record.add("proxy %d has no line for %s: %s", proxy.number,
                                    CLASSES.get(k), proxy.describe());
                        } else {
                            longest = Math.max(longest, now - without[proxy.number][k]);
                        }
                    }
                }
            }
            clients.stop = true;
            sender.join();
            record.add("transactions: sent %d, refused for want of a line %d", clients.sent,
                    clients.refused);
            record.add("longest time without a line, with a warm replica in the zone: %d ms,"
                    + " allowed %d ms", longest, BLACKHOLE_MS + SOCKET_SLACK_MS);
            return longest > BLACKHOLE_MS + SOCKET_SLACK_MS ? 1 : 0;
        }
    }

    private static final class Clients implements Runnable {
        private final Stand.Fleet fleet;
        volatile boolean stop;
        int sent;
        int refused;

        Clients(Stand.Fleet fleet) {
            this.fleet = fleet;
        }

        @Override
        public void run() {
            while (!stop) {
                for (Stand.Proxy proxy : fleet.proxies) {
                    for (String name : CLASSES) {
                        String replica = proxy.pick(name);
                        sent++;
                        if (replica == null) {
                            refused++;
                        } else {
                            boolean down = !fleet.discovery.replicas.get(replica).lifecycle.equals("Ready");
                            fleet.attempted(proxy, replica, down);
                        }
                    }
                }
                Stand.pause(300);
            }
        }
    }
}
