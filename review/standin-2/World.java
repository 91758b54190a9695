import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Replicas as stand-ins, the transactions that sidecars send to them, and the collectors that pass on what was met. Each sidecar
 * sends transactions at its usual rate, each to the replica that it picks. Reports go to one governor.
 */
final class World implements Closeable {
    private static final double WORK_SECONDS = 0.19;
    private static final double CORES = 3.5;

    /** A transaction: when, from which sidecar, to which replica (null: there was none to pick). */
    record Sent(long atMillis, int sidecar, String className, String replica, boolean answered) {}

    final List<Sent> sent = new ArrayList<>();
    private final Map<String, Boolean> up = new TreeMap<>();
    private final List<Sidecar> sidecars;
    private final List<String> classes;
    private final double ratePerSidecar;
    private final SplittableRandom random = new SplittableRandom(7);
    private final Map<String, int[]> met = new TreeMap<>();
    private final Map<String, Integer> arrived = new TreeMap<>();
    private final Map<String, Integer> busy = new TreeMap<>();
    private final Map<String, Socket> collectors = new TreeMap<>();
    private volatile boolean closed;

    /** The zone that is cut off from all others, or null. */
    private volatile String cutZone;

    World(List<Sidecar> sidecars, List<String> classes, double ratePerSidecar) {
        this.sidecars = sidecars;
        this.classes = classes;
        this.ratePerSidecar = ratePerSidecar;
        Kit.own(this);
    }

    synchronized void setUp(String replica, boolean isUp) {
        up.put(replica, isUp);
    }

    /** Cuts a zone off from the others for transactions; null ends that. */
    void cut(String zone) {
        cutZone = zone;
    }

    private boolean isReachable(Sidecar from, String replica) {
        String cut = cutZone;
        return cut == null || from.zone.equals(cut) == replica.startsWith("s-" + cut);
    }

    void connectCollector(String zone, int port) throws IOException {
        Socket collector = new Socket(InetAddress.getLoopbackAddress(), port);
        collector.getOutputStream().write(Kit.encode("collector", "az", zone));
        collectors.put(zone, collector);
    }

    void start() {
        daemon("transactions", this::sendTransactions);
        daemon("reports", this::report);
    }

    private void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Transactions a second of a sidecar: its own share, unless all have one rate. */
    private double rateOf(Sidecar sidecar) {
        return ratePerSidecar > 0 ? ratePerSidecar : sidecar.share;
    }

    private void sendTransactions() {
        TreeMap<Integer, Double> dueAt = new TreeMap<>();
        sidecars.forEach(each -> dueAt.put(each.number, Kit.now() + random.nextDouble() * 1000 / rateOf(each)));
        while (!closed) {
            for (Sidecar each : sidecars) {
                if (dueAt.get(each.number) <= Kit.now()) {
                    // Evenly spread with some jitter.
                    dueAt.merge(each.number, (0.5 + random.nextDouble()) * 1000 / rateOf(each), Double::sum);
                    if (each.isAlive()) {
                        send(each);
                    }
                }
            }
            pause(2);
        }
    }

    private synchronized void send(Sidecar from) {
        String className = classes.get(random.nextDouble() < 0.64 ? 0 : 1);
        String replica = from.pick(className);
        boolean answered = replica != null && up.getOrDefault(replica, false) && isReachable(from, replica);
        sent.add(new Sent(Kit.now(), from.number, className, replica, answered));
        arrived.merge(from.number + " " + className, 1, Integer::sum);
        if (replica != null) {
            int[] counts = met.computeIfAbsent(from.zone + " " + replica, any -> new int[2]);
            counts[0]++;
            counts[1] += answered ? 0 : 1;
            busy.merge(replica, answered ? 1 : 0, Integer::sum);
        }
    }

    synchronized List<Sent> sent() {
        return List.copyOf(sent);
    }

    private void report() {
        while (!closed) {
            pause(1_000);
            List<String[]> lines = new ArrayList<>();
            Map<String, Integer> usage;
            synchronized (this) {
                met.forEach((key, counts) -> lines.add(heard(key, counts)));
                usage = new TreeMap<>(arrived);
                met.clear();
                arrived.clear();
                busy.clear();
            }
            // Reports are late.
            pause(350);
            for (String[] line : lines) {
                Socket collector = collectors.get(line[2]);
                try {
                    if (collector != null) {
                        collector.getOutputStream().write(Kit.encode(line));
                    }
                } catch (IOException ended) {
                    collectors.remove(line[2]);
                }
            }
            for (Sidecar each : sidecars) {
                for (String className : classes) {
                    Integer count = usage.get(each.number + " " + className);
                    try {
                        if (count != null) {
                            each.send("usage", "sidecar", "" + each.number, "kind", className, "n", "" + count, "bad", "0",
                                    "window", "1000.0");
                        }
                    } catch (IOException ended) {
                        // Its stream is over.
                    }
                }
            }
        }
    }

    private String[] heard(String key, int[] counts) {
        String zone = key.substring(0, key.indexOf(' '));
        String replica = key.substring(key.indexOf(' ') + 1);
        double load = Math.min(1, busy.getOrDefault(replica, 0) * WORK_SECONDS / CORES);
        double noisy = Math.min(1, load * (0.9 + 0.2 * random.nextDouble()));
        List<String> words = new ArrayList<>(List.of("heard", "az", zone, "host", replica, "n", "" + counts[0], "bad",
                "" + counts[1], "avg", counts[1] == counts[0] ? "0" : "62.0", "window", "1000.0"));
        if (counts[1] < counts[0]) {
            words.addAll(List.of("report", String.format(Locale.ROOT, "util:%.2f,queue:0", noisy)));
        }
        return words.toArray(String[]::new);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Socket each : collectors.values()) {
            each.close();
        }
    }
}
