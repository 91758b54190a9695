import java.nio.file.Path;
import java.util.List;

/**
 * Operators hold a replica that hangs; then all controllers restart, and two of the three come back
 * later than the first. Checks that the first controller's proxies send nothing to the held replica
 * past the grace.
 */
final class RestartForgetsHold {
    private static final int GRACE_MS = 3_100;
    private static final int SOCKET_SLACK_MS = 300;
    private static final int AFTER_FIRST_ANSWER_MS = 1_000;
    private static final int OTHERS_BACK_AFTER_MS = 20_000;
    private static final List<String> CLASSES = List.of("subset", "licence-use");

    private RestartForgetsHold() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Stand.Record record = new Stand.Record(Path.of(arguments[0]));
                Stand.Cluster cluster = new Stand.Cluster(record, 10, settings -> settings)) {
            try {
                status = cluster.start() ? play(cluster, record, trouble) : 2;
            } catch (Exception failure) {
                record.add("the case could not run: %s", failure);
            }
            cluster.recordLog("n1", "change applied");
            cluster.recordLog("n1", "quorum contact");
            cluster.recordLog("n1", "controlScope");
            record.add("exit %d", status);
        }
        System.exit(Stand.exitCode(status));
    }

    private static int play(Stand.Cluster cluster, Stand.Record record, boolean trouble)
            throws Exception {
        List<Stand.Governor> governors = cluster.governors;
        Stand.Governor first = governors.get(0);
        Stand.Replica held = cluster.discovery.replicas.get("s-3");
        try (Stand.Fleet fleet = new Stand.Fleet(record, cluster.discovery, 2_000, 6)) {
            for (int i = 0; i < 8; i++) {
                String zone = i % 2 == 0 ? "hall-a" : "hall-b";
                fleet.proxies.add(new Stand.Proxy(i, zone, CLASSES, fleet, first.port,
                        List.of("s-0", "s-1", "s-2")));
            }
            fleet.collect("hall-a", first.port);
            fleet.collect("hall-b", first.port);
            Traffic traffic = new Traffic(fleet, held, record);
            Thread sender = Stand.daemon(traffic);
            sender.start();
            Thread.sleep(4_000);
            held.hangs = true;
            record.add("s-3 takes transactions and answers none from now on");
            String answer = Stand.command(record,
                    "cluster hold s-3 --reason hangs --operator " + cluster.membersFile());
            if (!answer.startsWith("0 ")) {
                return 2;
            }
            long holdAgreed = Stand.now();
            Thread.sleep(6_000);
            // The time from which nothing may be sent to the held replica any more.
            traffic.deadline = holdAgreed + GRACE_MS + SOCKET_SLACK_MS;
            Thread.sleep(2_000);
            int before = traffic.late;
            record.add("sent to s-3 past the grace before the restarts: %d", before);
            if (before > 0) {
                return 2;
            }
            if (trouble) {
                record.add("all controllers restart: n1 at once, n2 and n3 %d ms later",
                        OTHERS_BACK_AFTER_MS);
                traffic.deadline = Long.MAX_VALUE;
                for (Stand.Governor governor : governors) {
                    governor.kill();
                }
                long killed = Stand.now();
                first.start();
                if (!first.awaitReady(30_000)) {
                    return 2;
                }
                traffic.deadline =
                        Stand.now() + AFTER_FIRST_ANSWER_MS + GRACE_MS + SOCKET_SLACK_MS;
                Thread.sleep(Math.max(0, killed + OTHERS_BACK_AFTER_MS - Stand.now()));
                governors.get(1).start();
                governors.get(2).start();
                governors.get(1).awaitReady(30_000);
                governors.get(2).awaitReady(30_000);
                Thread.sleep(6_000);
            } else {
                Thread.sleep(30_000);
            }
            traffic.stop = true;
            sender.join();
            record.add("transactions: sent %d, answered %d, never answered %d, refused %d",
                    traffic.sent, traffic.answered, traffic.unanswered, traffic.refused);
            record.add("sent to the held replica past the grace: %d", traffic.late);
            return traffic.late > 0 ? 1 : 0;
        }
    }

    /** The clients: transactions of both classes at all proxies. */
    private static final class Traffic implements Runnable {
        private final Stand.Fleet fleet;
        private final Stand.Replica held;
        private final Stand.Record record;
        volatile long deadline = Long.MAX_VALUE;
        volatile boolean stop;
        int sent;
        int answered;
        int unanswered;
        int refused;
        volatile int late;

        Traffic(Stand.Fleet fleet, Stand.Replica held, Stand.Record record) {
            this.fleet = fleet;
            this.held = held;
            this.record = record;
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
                            continue;
                        }
                        boolean hangs = replica.equals(held.name) && held.hangs;
                        fleet.attempted(proxy, replica, hangs);
                        answered += hangs ? 0 : 1;
                        unanswered += hangs ? 1 : 0;
                        // The clock of the rule starts at the proxy's join, if that is later.
                        long joined = proxy.joinedAt;
                        if (replica.equals(held.name) && joined >= 0
                                && Stand.now() > Math.max(deadline,
                                        joined + GRACE_MS + SOCKET_SLACK_MS)) {
                            late++;
                            record.add("proxy %d sent a %s to %s, %s", proxy.number, name, replica,
                                    hangs ? "never answered" : "answered");
                        }
                    }
                }
                Stand.pause(300);
            }
        }
    }
}
