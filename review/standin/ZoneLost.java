import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A zone is lost for 5 s and returns cold; two of its four proxies lose their streams with it. Checks
 * that all proxies of that zone have a line to pick again once its replicas are warm.
 */
final class ZoneLost {
    private static final int BLACKHOLE_MS = 5_400;
    private static final int WARM_AFTER_MS = 18_000;
    private static final int SOCKET_SLACK_MS = 300;
    private static final int ZONE_LOST_MS = 5_000;
    private static final int WATCHED_MS = 45_000;
    private static final int PROXIES = 8;

    /** Proxies from this number on keep their streams. */
    private static final int FIRST_KEPT = 4;

    private static final String LOST_ZONE = "hall-b";
    private static final List<String> CLASSES = List.of("subset", "licence-use");

    private ZoneLost() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int status = 2;
        Stand.Governor governor = null;
        try (Stand.Record record = new Stand.Record(Path.of(arguments[0]))) {
            try (Stand.Discovery discovery = new Stand.Discovery(record)) {
                for (int i = 0; i < 10; i++) {
                    discovery.add(new Stand.Replica("s-" + i, i % 2 == 0 ? "hall-a" : LOST_ZONE));
                }
                String settings = Stand.exampleSettings().replace(
                        "\"slices\": 0", "\"slices\": 0, \"class_own_zone\": [true, true]");
                int port = Stand.freePort();
                Path config = folder.resolve("n1.json");
                Files.writeString(config,
                        Stand.config("n1", port, discovery.address(), discovery, settings, 1024));
                governor = new Stand.Governor("n1", port, folder, config, "", "", record);
                governor.start();
                status = governor.awaitReady(30_000)
                        ? play(trouble, record, discovery, governor) : 2;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
            } finally {
                if (governor != null) {
                    governor.kill();
                }
            }
            record.add("exit %d", status);
        } finally {
            Stand.delete(folder);
        }
        System.exit(Stand.exitCode(status));
    }

    private static int play(boolean trouble, Stand.Record record, Stand.Discovery discovery,
            Stand.Governor governor) throws Exception {
        try (Stand.Fleet fleet = new Stand.Fleet(record, discovery, 2_000, 6)) {
            for (int i = 0; i < PROXIES; i++) {
                fleet.proxies.add(new Stand.Proxy(i, i % 2 == 0 ? "hall-a" : LOST_ZONE, CLASSES, fleet,
                        governor.port, i % 2 == 0 ? List.of("s-0", "s-2") : List.of("s-1", "s-3")));
            }
            fleet.collect("hall-a", governor.port);
            fleet.collect(LOST_ZONE, governor.port);
            Clients clients = new Clients(fleet);
            Thread sender = Stand.daemon(clients);
            sender.start();
            Thread.sleep(6_000);
            for (Stand.Proxy proxy : fleet.proxies) {
                if (proxy.joinedAt < 0 || proxy.lastMessageAt < 0) {
                    return 2;
                }
            }
            // From this time on a replica of the lost zone is warm.
            long warmAt = Stand.now();
            if (trouble) {
                loseZone(record, discovery, fleet);
                warmAt = Stand.now() + WARM_AFTER_MS;
            }
            long longest = watch(record, fleet, warmAt);
            clients.stop = true;
            sender.join();
            record.add("transactions: sent %d, refused for want of a line %d", clients.sent,
                    clients.refused);
            record.add("longest time without a line, with a warm replica in the zone: %d ms,"
                    + " allowed %d ms", longest, BLACKHOLE_MS + SOCKET_SLACK_MS);
            return longest > BLACKHOLE_MS + SOCKET_SLACK_MS ? 1 : 0;
        }
    }

    private static void loseZone(Stand.Record record, Stand.Discovery discovery, Stand.Fleet fleet)
            throws Exception {
        record.add("zone %s is lost: its replicas, and two of its proxies' streams", LOST_ZONE);
        for (Stand.Replica replica : discovery.replicas.values()) {
            if (replica.zone.equals(LOST_ZONE)) {
                discovery.change(replica, "Gone", replica.startedAtMs);
            }
        }
        for (Stand.Proxy proxy : fleet.proxies) {
            if (proxy.zone.equals(LOST_ZONE) && proxy.number < FIRST_KEPT) {
                proxy.breakStream();
            }
        }
        Thread.sleep(ZONE_LOST_MS);
        record.add("zone %s returns, cold", LOST_ZONE);
        for (Stand.Replica replica : discovery.replicas.values()) {
            if (replica.zone.equals(LOST_ZONE)) {
                discovery.change(replica, "Ready", System.currentTimeMillis());
            }
        }
    }

    /** Returns the longest time that a joined proxy had no line for a class, in ms. */
    private static long watch(Stand.Record record, Stand.Fleet fleet, long warmAt)
            throws InterruptedException {
        long[][] since = new long[PROXIES][CLASSES.size()];
        long longest = 0;
        for (long end = Stand.now() + WATCHED_MS; Stand.now() < end; Thread.sleep(50)) {
            long now = Stand.now();
            for (Stand.Proxy proxy : fleet.proxies) {
                for (int k = 0; k < CLASSES.size(); k++) {
                    boolean hasWarm = proxy.zone.equals("hall-a") || now >= warmAt;
                    if (!hasWarm || proxy.joinedAt < 0 || proxy.hasLine(CLASSES.get(k))) {
                        since[proxy.number][k] = 0;
                    } else if (since[proxy.number][k] == 0) {
                        since[proxy.number][k] = now;
                        record.add("proxy %d has no line for %s: %s", proxy.number, CLASSES.get(k),
                                proxy.describe());
                    } else {
                        longest = Math.max(longest, now - since[proxy.number][k]);
                    }
                }
            }
        }
        return longest;
    }

    /** Transactions of both classes at all proxies. */
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
                            boolean down = fleet.discovery.replicas.get(replica).lifecycle.equals("Gone");
                            fleet.attempted(proxy, replica, down);
                        }
                    }
                }
                Stand.pause(300);
            }
        }
    }
}
