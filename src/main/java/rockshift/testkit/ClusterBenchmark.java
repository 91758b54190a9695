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
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;
import rockshift.cluster.ClusterMember;
import rockshift.cluster.ClusterSettings;
import rockshift.cluster.Engine;
import rockshift.cluster.LocalController;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.model.Ticks;
import rockshift.raft.Entry;
import rockshift.raft.TermAndVote;
import rockshift.raft.Timing;
import rockshift.storage.DurableLog;
import rockshift.storage.FileDisk;

/**
 * A benchmark of consensus on this machine. Each figure is compared with what bounds it in the same
 * run: the latency of a change with one sync and one round trip, the throughput of changes with the
 * same log written without consensus, and failover time with the election timeout. Used by one
 * thread.
 */
public final class ClusterBenchmark {
    private static final long ELECTION_TIMEOUT_MILLIS = 300;
    private static final int BODY_BYTES = 120;
    private static final int MEMBERS = 3;
    private static final int CONCURRENT_CLIENTS = 64;
    private static final int MEMORY_CLIENTS = 32;
    private static final int MEMORY_SAMPLES = 10;
    private static final long CHANGE_TIMEOUT_MILLIS = 30_000;
    private static final String SETTING = "price.crossing";

    private final Path folder;
    private final Map<String, Double> figures = new LinkedHashMap<>();
    private final ClusterMember[] members = new ClusterMember[MEMBERS];

    /** The ports of the members, which they reuse at each start. */
    private final int[] ports = new int[MEMBERS];

    /**
     * Creates a benchmark that has not started.
     *
     * @param folder the folder for logs and members' data, on the disk to measure
     */
    public ClusterBenchmark(Path folder) {
        this.folder = folder;
    }

    /** A controller that ignores committed changes. */
    private static final class IdleController implements LocalController {
        @Override
        public void applyAgreed(long version, Map<String, Change> out, Map<String, Double> terms) {}

        @Override
        public void setAgreedStateKnown(boolean known) {}

        @Override
        public void setPermittedChanges(PermittedChanges permitted) {}

        @Override
        public String rejectionReason(Change change, Map<String, Change> out) {
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

    /** Runs the benchmark and returns all figures by name, in the order of measurement. */
    public Map<String, Double> run(int changes, int kills)
            throws IOException, InterruptedException {
        measureSync(changes);
        measureRoundTrip(changes);
        measurePlainLog();
        measureRecovery();
        for (int i = 0; i < MEMBERS; i++) {
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                ports[i] = free.getLocalPort();
            }
        }
        for (int i = 0; i < MEMBERS; i++) {
            start(i);
        }
        measureSequentialChanges(changes);
        measureConcurrentChanges();
        measureFailover(kills);
        for (ClusterMember member : members) {
            member.close();
        }
        putRatio(
                "change / (sync + round trip)",
                "change, median us",
                figures.get("sync, median us") + figures.get("round trip, median us"));
        putRatio(
                "agreed / plain log",
                "agreed changes a second",
                figures.get("plain log, entries a second"));
        putRatio(
                "leaderless p99 / election",
                "leaderless, p99 ms",
                (double) ELECTION_TIMEOUT_MILLIS);
        return figures;
    }

    private void putRatio(String name, String dividendFigure, double divisor) {
        figures.put(name, figures.get(dividendFigure) / divisor);
    }

    private void putPercentiles(String name, Histogram histogram, double divisor) {
        figures.put(name.replace(",", ", median"), histogram.getValueAtPercentile(50) / divisor);
        figures.put(name.replace(",", ", p99"), histogram.getValueAtPercentile(99) / divisor);
    }

    private void measureSync(int times) throws IOException {
        Histogram histogram = new Histogram(3);
        try (FileDisk disk = new FileDisk(folder.resolve("sync"))) {
            for (int i = 0; i < times; i++) {
                long startedNanos = System.nanoTime();
                disk.append("file", new byte[BODY_BYTES + 60]);
                disk.sync("file");
                histogram.recordValue(System.nanoTime() - startedNanos);
            }
        }
        putPercentiles("sync, us", histogram, 1_000);
    }

    private void measureRoundTrip(int times) throws IOException {
        Histogram histogram = new Histogram(3);
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket near = new Socket()) {
            near.connect(
                    new InetSocketAddress(
                            InetAddress.getLoopbackAddress(), listener.getLocalPort()));
            Socket far = listener.accept();
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Thread echo = new Thread(() -> echoFrames(far), "echo");
            echo.setDaemon(true);
            echo.start();
            DataInputStream in = new DataInputStream(near.getInputStream());
            byte[] frame = new byte[BODY_BYTES];
            for (int i = 0; i < times; i++) {
                long startedNanos = System.nanoTime();
                near.getOutputStream().write(frame);
                in.readFully(frame);
                histogram.recordValue(System.nanoTime() - startedNanos);
            }
        }
        putPercentiles("round trip, us", histogram, 1_000);
    }

    private static void echoFrames(Socket socket) {
        try (socket) {
            byte[] frame = new byte[BODY_BYTES];
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                in.readFully(frame);
                socket.getOutputStream().write(frame);
            }
        } catch (IOException closed) {
            // The measurement has ended.
        }
    }

    private static List<Entry> entries(long from, int count) {
        List<Entry> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(
                    new Entry(
                            from + i,
                            1,
                            Entry.Kind.CHANGE,
                            7,
                            from + i,
                            new byte[BODY_BYTES],
                            null));
        }
        return all;
    }

    private void measurePlainLog() throws IOException {
        try (FileDisk disk = new FileDisk(folder.resolve("plain"))) {
            DurableLog log = new DurableLog(disk, line -> {});
            log.open(1);
            long startedNanos = System.nanoTime();
            for (int batch = 0; batch < 400; batch++) {
                log.save(TermAndVote.NONE, entries(1 + batch * 64L, 64), null);
            }
            figures.put(
                    "plain log, entries a second",
                    400 * 64 / ((System.nanoTime() - startedNanos) / 1e9));
        }
    }

    private void measureRecovery() throws IOException {
        try (FileDisk disk = new FileDisk(folder.resolve("long"))) {
            DurableLog log = new DurableLog(disk, line -> {});
            log.open(1);
            for (int batch = 0; batch < 100; batch++) {
                log.save(TermAndVote.NONE, entries(1 + batch * 1_000L, 1_000), null);
            }
            long startedNanos = System.nanoTime();
            int found = new DurableLog(disk, line -> {}).open(1).entries().size();
            figures.put(
                    "recovery of " + found + " entries, ms",
                    (System.nanoTime() - startedNanos) / 1e6);
        }
    }

    private void start(int member) throws IOException, InterruptedException {
        Map<String, String> founders = new LinkedHashMap<>();
        for (int other = 0; other < MEMBERS; other++) {
            founders.put("n" + other, address(other));
        }
        members[member] =
                new ClusterMember(
                        new ClusterSettings(
                                "n" + member,
                                new InetSocketAddress("127.0.0.1", ports[member]),
                                address(member),
                                folder.resolve("member" + member),
                                founders,
                                Map.of(),
                                new Timing(
                                        ELECTION_TIMEOUT_MILLIS * Ticks.TICKS_PER_MILLI,
                                        ELECTION_TIMEOUT_MILLIS * 2,
                                        0.05,
                                        true,
                                        512),
                                new Engine.Compaction(10_000, 4 << 20),
                                ClusterSettings.Minority.WITHDRAW,
                                ClusterSettings.InitialCluster.NEW,
                                DistributionSettings.DEFAULT_SUBSCRIBERS),
                        new IdleController());
        members[member].start();
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

    private static long deadlineMillis() {
        return System.nanoTime() / 1_000_000 + CHANGE_TIMEOUT_MILLIS;
    }

    private static Change change(int number) {
        return new Change(Change.Kind.TERM, SETTING, 0, number % 10, "measured change " + number);
    }

    private void measureSequentialChanges(int changes) throws IOException, InterruptedException {
        Histogram histogram = new Histogram(3);
        try (ClusterClient client = client(1)) {
            for (int i = -2 * changes; i < changes; i++) {
                long startedNanos = System.nanoTime();
                client.change(change(Math.abs(i)), true, deadlineMillis());
                boolean warmUp = i < 0;
                if (!warmUp) {
                    histogram.recordValue(System.nanoTime() - startedNanos);
                }
            }
        }
        putPercentiles("change, us", histogram, 1_000);
    }

    private void measureConcurrentChanges() throws InterruptedException {
        AtomicLong done = new AtomicLong();
        long endNanos = System.nanoTime() + 5_000_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (int number = 0; number < CONCURRENT_CLIENTS; number++) {
            int seed = 100 + number;
            threads.add(new Thread(() -> changeUntil(endNanos, seed, done), "client " + number));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        figures.put("agreed changes a second", done.get() / 5.0);
    }

    private void changeUntil(long endNanos, int seed, AtomicLong done) {
        try (ClusterClient client = client(seed)) {
            for (int number = 0; System.nanoTime() < endNanos; number++) {
                client.change(change(number), true, deadlineMillis());
                done.incrementAndGet();
            }
        } catch (IOException failure) {
            System.err.println("benchmark client stopped: " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Measures the largest resident memory of three processes, in MB, by the number of changes
     * started so far.
     */
    public Map<Long, Double> measureMemory(long changes) throws IOException, InterruptedException {
        Map<Long, Double> megabytesByChanges = new LinkedHashMap<>();
        AtomicLong started = new AtomicLong();
        Path memoryFolder = Files.createDirectories(folder.resolve("memory"));
        try (ControllerProcesses controllers =
                new ControllerProcesses(
                        memoryFolder,
                        MEMBERS,
                        ELECTION_TIMEOUT_MILLIS + "ms",
                        1,
                        (member, incarnation, line) -> {})) {
            List<String> addresses = new ArrayList<>();
            for (int member = 0; member < MEMBERS; member++) {
                controllers.start(member);
                addresses.add(controllers.clientAddress(member));
            }
            List<Thread> threads = new ArrayList<>();
            for (int number = 0; number < MEMORY_CLIENTS; number++) {
                int seed = number;
                threads.add(
                        new Thread(
                                () -> changeTimes(changes, addresses, seed, started),
                                "client " + number));
            }
            threads.forEach(Thread::start);
            for (long next = 0; next <= changes; next += changes / MEMORY_SAMPLES) {
                long target = next;
                ControllerProcesses.await(() -> started.get() >= target, 600_000);
                megabytesByChanges.put(next, maxResidentMegabytes(controllers));
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        return megabytesByChanges;
    }

    private static void changeTimes(
            long changes, List<String> addresses, int seed, AtomicLong started) {
        try (ClusterClient client =
                new ClusterClient(addresses, new SplittableRandom(seed), 2_000)) {
            while (started.incrementAndGet() <= changes) {
                client.change(change(seed), true, deadlineMillis());
            }
        } catch (IOException failure) {
            System.err.println("benchmark client stopped: " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static double maxResidentMegabytes(ControllerProcesses controllers) throws IOException {
        double most = 0;
        for (int member = 0; member < MEMBERS; member++) {
            most = Math.max(most, ProcessUsage.of(controllers.pid(member)).residentMegabytes());
        }
        return most;
    }

    /** Measures the time from closing the leader until another member is leader. */
    private void measureFailover(int kills) throws IOException, InterruptedException {
        Histogram histogram = new Histogram(3);
        try (ClusterClient client = client(2)) {
            for (int i = 0; i < kills; i++) {
                int leader = awaitLeader(-1);
                long startedNanos = System.nanoTime();
                members[leader].close();
                awaitLeader(leader);
                histogram.recordValue((System.nanoTime() - startedNanos) / 1_000);
                start(leader);
                client.change(change(i), true, deadlineMillis());
                TimeUnit.MILLISECONDS.sleep(100);
            }
        }
        putPercentiles("leaderless, ms", histogram, 1_000);
    }

    private int awaitLeader(int except) {
        while (true) {
            for (int i = 0; i < members.length; i++) {
                if (i != except && members[i].isLeader()) {
                    return i;
                }
            }
            LockSupport.parkNanos(500_000);
        }
    }
}
