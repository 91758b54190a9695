package rockshift.testkit;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;
import rockshift.cluster.ClusterMember;
import rockshift.cluster.ClusterSettings;
import rockshift.cluster.Engine;
import rockshift.cluster.LocalController;
import rockshift.raft.Entry;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;
import rockshift.storage.DurableLog;
import rockshift.storage.FileDisk;

/**
 * What agreement costs on this machine, each figure beside what bounds it in the same run: a change
 * beside one sync and one round trip, many changes beside the same log written without agreement,
 * an election beside its time-out.
 */
public final class ClusterBench {
    private static final long ELECTION_MS = 300;
    private static final int BODY = 120;
    private static final String PLAIN = "price.crossing";

    private final Path folder;
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final ClusterMember[] members = new ClusterMember[3];

    /**
     * Ports of the members: free ones, taken again at each start, so that nothing stands between
     * members.
     */
    private final int[] ports = new int[3];

    public ClusterBench(Path folder) {
        this.folder = folder;
    }

    /** No governor: nothing is done with what is agreed. */
    private static final class NoGovernor implements LocalController {
        @Override
        public void applyAgreed(long version, Map<String, Change> out, Map<String, Double> terms) {}

        @Override
        public void setReach(Reach reach) {}

        @Override
        public String objection(Change change, Map<String, Change> out) {
            return null;
        }

        @Override
        public long startedMillis(String replica) {
            return 0;
        }

        @Override
        public String zoneOf(String replica) {
            return "";
        }
    }

    /** All figures by name, in their order. */
    public Map<String, Double> run(int changes, int kills)
            throws IOException, InterruptedException {
        sync(changes);
        roundTrip(changes);
        plainLog();
        recovery();
        for (int i = 0; i < 3; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[i] = free.getLocalPort();
            }
        }
        for (int i = 0; i < 3; i++) {
            start(i);
        }
        oneAtATime(changes);
        many();
        leaderless(kills);
        for (ClusterMember member : members) {
            member.close();
        }
        ratio(
                "change / (sync + round trip)",
                "change, median us",
                figures.get("sync, median us") + figures.get("round trip, median us"));
        ratio(
                "agreed / plain log",
                "agreed changes a second",
                figures.get("plain log, entries a second"));
        ratio("leaderless p99 / election", "leaderless, p99 ms", (double) ELECTION_MS);
        return figures;
    }

    private void ratio(String name, String of, double to) {
        figures.put(name, figures.get(of) / to);
    }

    private void spread(String name, Histogram taken, double unit) {
        figures.put(name.replace(",", ", median"), taken.getValueAtPercentile(50) / unit);
        figures.put(name.replace(",", ", p99"), taken.getValueAtPercentile(99) / unit);
    }

    private void sync(int times) throws IOException {
        Histogram taken = new Histogram(3);
        try (FileDisk disk = new FileDisk(folder.resolve("sync"))) {
            for (int i = 0; i < times; i++) {
                long began = System.nanoTime();
                disk.append("file", new byte[BODY + 60]);
                disk.sync("file");
                taken.recordValue(System.nanoTime() - began);
            }
        }
        spread("sync, us", taken, 1_000);
    }

    private void roundTrip(int times) throws IOException {
        Histogram taken = new Histogram(3);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket near = new Socket()) {
            near.connect(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), listener.getLocalPort()));
            Socket far = listener.accept();
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Thread echo =
                    new Thread(
                            () -> {
                                try (far) {
                                    byte[] frame = new byte[BODY];
                                    for (DataInputStream in =
                                                    new DataInputStream(far.getInputStream());
                                            ; ) {
                                        in.readFully(frame);
                                        far.getOutputStream().write(frame);
                                    }
                                } catch (IOException over) {
                                    // The measurement is done.
                                }
                            },
                            "echo");
            echo.setDaemon(true);
            echo.start();
            DataInputStream in = new DataInputStream(near.getInputStream());
            byte[] frame = new byte[BODY];
            for (int i = 0; i < times; i++) {
                long began = System.nanoTime();
                near.getOutputStream().write(frame);
                in.readFully(frame);
                taken.recordValue(System.nanoTime() - began);
            }
        }
        spread("round trip, us", taken, 1_000);
    }

    private static List<Entry> entries(long from, int count) {
        List<Entry> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Entry(from + i, 1, Entry.Kind.CHANGE, 7, from + i, new byte[BODY], null));
        }
        return all;
    }

    private void plainLog() throws IOException {
        try (FileDisk disk = new FileDisk(folder.resolve("plain"))) {
            DurableLog log = new DurableLog(disk, line -> {});
            log.open(1);
            long began = System.nanoTime();
            for (int batch = 0; batch < 400; batch++) {
                log.save(TermAndVote.NONE, 1 + batch * 64L, entries(1 + batch * 64L, 64), null);
            }
            figures.put(
                    "plain log, entries a second", 400 * 64 / ((System.nanoTime() - began) / 1e9));
        }
    }

    private void recovery() throws IOException {
        try (FileDisk disk = new FileDisk(folder.resolve("long"))) {
            DurableLog log = new DurableLog(disk, line -> {});
            log.open(1);
            for (int batch = 0; batch < 100; batch++) {
                log.save(
                        TermAndVote.NONE,
                        1 + batch * 1_000L,
                        entries(1 + batch * 1_000L, 1_000),
                        null);
            }
            long began = System.nanoTime();
            int found = new DurableLog(disk, line -> {}).open(1).entries().size();
            figures.put("recovery of " + found + " entries, ms", (System.nanoTime() - began) / 1e6);
        }
    }

    private void start(int i) throws IOException, InterruptedException {
        Map<String, String> founders = new LinkedHashMap<>();
        for (int k = 0; k < 3; k++) {
            founders.put("n" + k, address(k));
        }
        members[i] =
                new ClusterMember(
                        new ClusterSettings(
                                "n" + i,
                                new InetSocketAddress("127.0.0.1", ports[i]),
                                address(i),
                                folder.resolve("member" + i),
                                founders,
                                Map.of(),
                                new Timing(ELECTION_MS * 10, ELECTION_MS * 2, 0.05, true, 512),
                                new Engine.Compaction(10_000, 4 << 20),
                                ClusterSettings.Minority.WITHDRAW),
                        new NoGovernor());
        members[i].start();
    }

    private String address(int member) {
        return "127.0.0.1:" + ports[member];
    }

    private ClusterClient client(long seed) {
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            addresses.add(address(i));
        }
        return new ClusterClient(addresses, new SplittableRandom(seed), 1_000);
    }

    private static long deadline() {
        return System.nanoTime() / 1_000_000 + 30_000;
    }

    private static Change change(int i) {
        return new Change(Change.Kind.TERM, PLAIN, 0, i % 10, "measured change " + i);
    }

    private void oneAtATime(int changes) throws IOException, InterruptedException {
        Histogram taken = new Histogram(3);
        try (ClusterClient client = client(1)) {
            for (int i = -2 * changes; i < changes; i++) {
                long began = System.nanoTime();
                client.change(change(Math.abs(i)), true, deadline());
                if (i >= 0) {
                    taken.recordValue(System.nanoTime() - began);
                }
            }
        }
        spread("change, us", taken, 1_000);
    }

    private void many() throws InterruptedException {
        AtomicLong done = new AtomicLong();
        long end = System.nanoTime() + 5_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int k = 0; k < 64; k++) {
            int seed = k;
            threads.add(
                    new Thread(
                            () -> {
                                try (ClusterClient client = client(100 + seed)) {
                                    for (int i = 0; System.nanoTime() < end; i++) {
                                        client.change(change(i), true, deadline());
                                        done.incrementAndGet();
                                    }
                                } catch (IOException | InterruptedException failure) {
                                    System.err.println("a client ended: " + failure.getMessage());
                                }
                            },
                            "client " + k));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        figures.put("agreed changes a second", done.get() / 5.0);
    }

    /**
     * What three processes hold of memory as so many changes are agreed, by changes: the most of
     * the three, in MB.
     */
    public Map<Long, Double> memory(long changes) throws IOException, InterruptedException {
        Map<Long, Double> held = new LinkedHashMap<>();
        AtomicLong done = new AtomicLong();
        Path own = Files.createDirectories(folder.resolve("memory"));
        try (ControllerProcesses governors =
                new ControllerProcesses(
                        own, 3, ELECTION_MS + "ms", 1, (member, life, line) -> {})) {
            List<String> addresses = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                governors.start(i);
                addresses.add(governors.front(i));
            }
            List<Thread> threads = new ArrayList<>();
            for (int k = 0; k < 32; k++) {
                int seed = k;
                threads.add(
                        new Thread(
                                () -> {
                                    try (ClusterClient client =
                                            new ClusterClient(
                                                    addresses, new SplittableRandom(seed), 2_000)) {
                                        while (done.incrementAndGet() <= changes) {
                                            client.change(change(seed), true, deadline());
                                        }
                                    } catch (IOException | InterruptedException failure) {
                                        System.err.println(
                                                "a client ended: " + failure.getMessage());
                                    }
                                },
                                "client " + k));
            }
            threads.forEach(Thread::start);
            for (long next = 0; next <= changes; next += changes / 10) {
                long reached = next;
                ControllerProcesses.await(() -> done.get() >= reached, 600_000);
                double most = 0;
                for (int i = 0; i < 3; i++) {
                    most = Math.max(most, ProcessUsage.of(governors.pid(i)).residentMegabytes());
                }
                held.put(next, most);
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        return held;
    }

    /** From the end of the one that leads until another says that it does. */
    private void leaderless(int kills) throws IOException, InterruptedException {
        Histogram taken = new Histogram(3);
        try (ClusterClient client = client(2)) {
            for (int i = 0; i < kills; i++) {
                int leader = leader(-1);
                long began = System.nanoTime();
                members[leader].close();
                leader(leader);
                taken.recordValue((System.nanoTime() - began) / 1_000);
                start(leader);
                client.change(change(i), true, deadline());
                TimeUnit.MILLISECONDS.sleep(100);
            }
        }
        spread("leaderless, ms", taken, 1_000);
    }

    private int leader(int not) {
        while (true) {
            for (int i = 0; i < members.length; i++) {
                if (i != not && members[i].leads()) {
                    return i;
                }
            }
            java.util.concurrent.locks.LockSupport.parkNanos(500_000);
        }
    }
}
