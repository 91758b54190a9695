import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A cluster that one member founded and two joined; then the machine of the founder is replaced, so
 * that its folder is empty. Checks that it neither leads nor acknowledges changes before operators add
 * it again.
 */
final class WipedFounder {
    private static final int GRACE_MS = 3_100;
    private static final int SOCKET_SLACK_MS = 300;
    private static final int AFTER_FIRST_ANSWER_MS = 1_000;
    private static final String HELD = "s-3";
    private static final String HELD_LATER = "s-5";
    private static final List<String> CLASSES = List.of("subset", "licence-use");

    private WipedFounder() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Stand.Record record = new Stand.Record(Path.of(arguments[0]));
                Stand.Cluster cluster = new Stand.Cluster(record, 10, settings -> settings)) {
            try {
                for (String member : List.of("n1", "n2", "n3")) {
                    nameOneFounder(cluster.folder.resolve(member + ".hcl"), member);
                }
                status = cluster.start() ? play(cluster, record, trouble) : 2;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
            }
            cluster.recordLog("n1", "ClusterBootstrap");
            cluster.recordLog("n1", "leads in term");
            cluster.recordLog("n2", "leads in term");
            cluster.recordLog("n3", "leads in term");
            record.add("exit %d", status);
        }
        System.exit(Stand.exitCode(status));
    }

    /** Keeps n1 as the only founder, in its own file; a member that is added later lists none. */
    private static void nameOneFounder(Path file, String member) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(file)) {
            if (!line.contains("founder") || member.equals("n1") && line.contains("\"n1\"")) {
                lines.add(line);
            }
        }
        Files.write(file, lines);
    }

    private static String listenAddress(Stand.Cluster cluster, String member) throws IOException {
        for (String line : Files.readAllLines(cluster.folder.resolve(member + ".hcl"))) {
            if (line.contains("listen = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no address of " + member);
    }

    private static int play(Stand.Cluster cluster, Stand.Record record, boolean trouble)
            throws Exception {
        Map<String, String> addresses = new TreeMap<>();
        for (String member : List.of("n1", "n2", "n3")) {
            addresses.put(member, listenAddress(cluster, member));
        }
        String all = " --at " + String.join(",", addresses.values());
        Thread.sleep(2_000);
        for (String member : List.of("n2", "n3")) {
            String added = Stand.command(record, "cluster member add " + member + " "
                    + addresses.get(member) + " --at " + addresses.get("n1"));
            Thread.sleep(2_000);
            if (!added.startsWith("0 ")) {
                return 2;
            }
        }
        Stand.Governor first = cluster.governors.get(0);
        try (Stand.Fleet fleet = new Stand.Fleet(record, cluster.discovery, 2_000, 6)) {
            for (int i = 0; i < 8; i++) {
                fleet.proxies.add(new Stand.Proxy(i, i % 2 == 0 ? "hall-a" : "hall-b", CLASSES, fleet,
                        first.port, List.of("s-0", "s-1", "s-2")));
            }
            fleet.collect("hall-a", first.port);
            fleet.collect("hall-b", first.port);
            Clients clients = new Clients(fleet);
            Thread sender = Stand.daemon(clients);
            sender.start();
            Thread.sleep(3_000);
            if (!Stand.command(record, "cluster hold " + HELD + all).startsWith("0 ")) {
                return 2;
            }
            Thread.sleep(1_000);
            if (leaders(record, all) != 1 || !hasEverywhere(record, addresses, HELD)) {
                return 2;
            }
            clients.deadline = Stand.now() + GRACE_MS + SOCKET_SLACK_MS;
            Thread.sleep(5_000);
            if (trouble) {
                clients.deadline = Long.MAX_VALUE;
                first.kill();
                Stand.delete(cluster.folder.resolve("n1"));
                record.add("the machine of n1 is replaced: its folder is empty");
                first.start();
                if (!first.awaitReady(30_000)) {
                    return 2;
                }
                clients.deadline =
                        Stand.now() + AFTER_FIRST_ANSWER_MS + GRACE_MS + SOCKET_SLACK_MS;
            }
            Thread.sleep(8_000);
            int leaders = leaders(record, all);
            boolean acknowledged =
                    Stand.command(record, "cluster hold " + HELD_LATER + all).startsWith("0 ");
            Thread.sleep(3_000);
            boolean everywhere = hasEverywhere(record,
                    new TreeMap<>(Map.of("n2", addresses.get("n2"), "n3", addresses.get("n3"))),
                    HELD_LATER);
            int leadersAfter = leaders(record, all);
            clients.stop = true;
            sender.join();
            record.add("transactions sent to %s, held by the cluster, past the grace: %d", HELD,
                    clients.late);
            record.add("members that lead at a time: %d and %d; the hold of %s was acknowledged: %b,"
                    + " and is agreed at n2 and n3: %b", leaders, leadersAfter, HELD_LATER,
                    acknowledged, everywhere);
            if (!acknowledged && leaders < 2 && leadersAfter < 2) {
                return 2;
            }
            return leaders > 1 && leadersAfter > 1 || acknowledged && !everywhere ? 1 : 0;
        }
    }

    /** Returns how many members say that they lead. */
    private static int leaders(Stand.Record record, String at) throws Exception {
        int leaders = 0;
        for (String line : Stand.command(record, "cluster status" + at).split("\n")) {
            leaders += line.matches(".*:\\d+ +n\\d +leader .*") ? 1 : 0;
        }
        return leaders;
    }

    /** Returns whether the members have applied the hold of a replica. */
    private static boolean hasEverywhere(Stand.Record record, Map<String, String> addresses,
            String replica) throws Exception {
        boolean everywhere = true;
        for (String address : addresses.values()) {
            String log = Stand.command(record, "cluster log --at " + address);
            everywhere &= log.contains("\"subject\":\"" + replica + "\"");
        }
        return everywhere;
    }

    /** Transactions of both classes at all proxies. */
    private static final class Clients implements Runnable {
        private final Stand.Fleet fleet;
        volatile long deadline = Long.MAX_VALUE;
        volatile boolean stop;
        volatile int late;

        Clients(Stand.Fleet fleet) {
            this.fleet = fleet;
        }

        @Override
        public void run() {
            while (!stop) {
                for (Stand.Proxy proxy : fleet.proxies) {
                    for (String name : CLASSES) {
                        String replica = proxy.pick(name);
                        if (replica != null) {
                            fleet.attempted(proxy, replica, false);
                        }
                        long joined = proxy.joinedAt;
                        if (HELD.equals(replica) && joined >= 0 && Stand.now()
                                > Math.max(deadline, joined + GRACE_MS + SOCKET_SLACK_MS)) {
                            late++;
                            fleet.record.add("proxy %d sent a %s to %s", proxy.number, name, replica);
                        }
                    }
                }
                Stand.pause(300);
            }
        }
    }
}
