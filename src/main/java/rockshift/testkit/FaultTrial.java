package rockshift.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;

/**
 * Governors as processes, killed, stopped and cut at random while clients propose; then what each
 * applied is compared. Every change must be there once, in one order, and a governor cut off from
 * most must order nothing but what rules owe.
 */
public final class FaultTrial {
    private static final long ELECTION = 300;

    /**
     * Ms after which a governor that is cut off must know it: what it heard last, twice an
     * election, and a turn.
     */
    private static final long KNOWS = 3 * ELECTION;

    private static final int CLIENTS = 4;
    private static final Pattern AGREED =
            Pattern.compile("agreed (\\d+): (\\{.*\\}) (\\{\"version\".*\\})$");
    private static final Pattern REASON = Pattern.compile("\"reason\":\"(op-\\d+-\\d+)\"");

    /** What a trial came to. */
    public record Outcome(
            int applied,
            int lost,
            int twice,
            int disordered,
            int minority,
            int faults,
            Histogram agreeing,
            List<String> troubles) {
        public boolean held() {
            return applied > 0 && lost + twice + disordered + minority == 0;
        }

        public String line() {
            return "trial: "
                    + applied
                    + " applied, "
                    + lost
                    + " lost, "
                    + twice
                    + " twice, "
                    + disordered
                    + " out of order, "
                    + minority
                    + " minority orders";
        }
    }

    private final int members;
    private final long seconds;
    private final SplittableRandom chance;
    private final Consumer<String> progress;
    private final ControllerProcesses governors;

    /** By member and life: what was applied, by index, in the order of the lines. */
    private final Map<String, List<Long>> orders = new ConcurrentHashMap<>();

    private final Map<Long, String> contents = new ConcurrentHashMap<>();
    private final Map<String, Set<Long>> places = new ConcurrentHashMap<>();
    private final Map<String, Boolean> acknowledged = new ConcurrentHashMap<>();
    private final List<String> troubles = java.util.Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger disordered = new AtomicInteger();
    private final AtomicInteger minority = new AtomicInteger();
    private final AtomicInteger orderCount = new AtomicInteger();

    /** Since when a member has been cut off whole; 0 if it is not. */
    private final long[] cutSince;

    private final ConcurrentHistogram agreeing = new ConcurrentHistogram(3);
    private volatile boolean over;
    private int faults;

    public FaultTrial(Path folder, int members, long seconds, long seed, Consumer<String> progress)
            throws IOException {
        this.members = members;
        this.seconds = seconds;
        this.progress = progress;
        chance = new SplittableRandom(seed);
        cutSince = new long[members];
        governors = new ControllerProcesses(folder, members, ELECTION + "ms", seed, this::hear);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private boolean minority(int member) {
        long since = cutSince[member];
        return since > 0 && now() > since + KNOWS;
    }

    /** A governor's log tells what it applied. */
    private void hear(int member, int life, String line) {
        Matcher agreed = AGREED.matcher(line);
        if (!agreed.find()) {
            return;
        }
        long index = Long.parseLong(agreed.group(1));
        String content = agreed.group(2) + agreed.group(3);
        String before = contents.putIfAbsent(index, content);
        List<Long> order = orders.computeIfAbsent(member + "/" + life, key -> new ArrayList<>());
        if (before != null && !before.equals(content)
                || !order.isEmpty() && order.get(order.size() - 1) >= index) {
            disordered.incrementAndGet();
            troubles.add(
                    "n" + member + " applied at " + index + " " + content + ", known " + before);
        }
        order.add(index);
        Matcher reason = REASON.matcher(agreed.group(2));
        if (reason.find()) {
            places.computeIfAbsent(reason.group(1), key -> ConcurrentHashMap.newKeySet())
                    .add(index);
        }
        if (before == null && minority(member)) {
            minority.incrementAndGet();
            troubles.add("n" + member + " applied " + index + " though it was cut off");
        }
    }

    /** Plays it all, and tells what came of it. */
    public Outcome run() throws IOException, InterruptedException {
        try (governors) {
            for (int i = 0; i < members; i++) {
                governors.start(i);
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                long seed = chance.nextLong();
                threads.add(
                        new Thread(
                                () -> propose(number, new SplittableRandom(seed)), "client " + i));
            }
            for (int i = 0; i < members; i++) {
                int number = i;
                threads.add(new Thread(() -> standIn(number), "proxy " + i));
            }
            threads.forEach(thread -> thread.setDaemon(true));
            threads.forEach(Thread::start);
            long end = now() + seconds * 1_000;
            for (long told = now(); now() < end; ) {
                fault(end);
                if (now() > told + 15_000) {
                    told = now();
                    progress.accept(
                            contents.size()
                                    + " applied, "
                                    + faults
                                    + " faults, "
                                    + (end - now()) / 1_000
                                    + " s left");
                }
            }
            heal();
            over = true;
            for (Thread thread : threads) {
                thread.join(15_000);
            }
            settle();
            return judge();
        }
    }

    // ---- faults ---------------------------------------------------------------------------------

    private void fault(long end) throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(chance.nextLong(200, 1_500));
        int one = chance.nextInt(members);
        int other = (one + 1 + chance.nextInt(members - 1)) % members;
        long lasts = Math.min(chance.nextLong(300, 4_000), Math.max(0, end - now()));
        faults++;
        switch (chance.nextInt(6)) {
            case 0 -> {
                governors.kill(one);
                TimeUnit.MILLISECONDS.sleep(lasts);
                governors.start(one);
            }
            case 1 -> {
                governors.signal(one, "STOP");
                TimeUnit.MILLISECONDS.sleep(lasts);
                governors.signal(one, "CONT");
            }
            case 2 -> {
                isolate(Set.of(one), lasts);
            }
            case 3 -> {
                isolate(members > 3 ? Set.of(one, other) : Set.of(other), lasts);
            }
            case 4 -> {
                governors.link(one, other).cut(true);
                TimeUnit.MILLISECONDS.sleep(lasts);
                governors.link(one, other).cut(false);
            }
            default -> {
                for (int i = 0; i < members; i++) {
                    governors
                            .link(one, i)
                            .spoil(
                                    chance.nextDouble(0.4),
                                    chance.nextDouble(0.2),
                                    chance.nextInt(20));
                }
                TimeUnit.MILLISECONDS.sleep(lasts);
                for (int i = 0; i < members; i++) {
                    governors.link(one, i).spoil(0, 0, 0);
                }
            }
        }
    }

    /** Cuts fewer than half from the rest, both ways. */
    private void isolate(Set<Integer> few, long lasts) throws InterruptedException {
        cut(few, true);
        few.forEach(member -> cutSince[member] = now());
        TimeUnit.MILLISECONDS.sleep(lasts);
        few.forEach(member -> cutSince[member] = 0);
        cut(few, false);
    }

    private void cut(Set<Integer> few, boolean now) {
        for (int i = 0; i < members; i++) {
            for (int j = 0; j < members; j++) {
                if (few.contains(i) != few.contains(j)) {
                    governors.link(i, j).cut(now);
                }
            }
        }
    }

    private void heal() throws IOException, InterruptedException {
        cut(Set.of(), false);
        for (int i = 0; i < members; i++) {
            if (!governors.runs(i)) {
                governors.start(i);
            }
        }
    }

    // ---- clients and proxies --------------------------------------------------------------------

    private void propose(int number, SplittableRandom own) {
        List<String> fronts = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            fronts.add(governors.front((number + i) % members));
        }
        try (ClusterClient client = new ClusterClient(fronts, own, 1_500)) {
            for (int i = 0; !over; i++) {
                String reason = "op-" + number + "-" + i;
                String replica = "s-" + number;
                Change change =
                        i % 3 == 0
                                ? new Change(
                                        Change.Kind.TERM,
                                        "price.crossing",
                                        0,
                                        own.nextInt(100) / 10.0,
                                        reason)
                                : new Change(
                                        i % 3 == 1 ? Change.Kind.HOLD : Change.Kind.BACK,
                                        replica,
                                        0,
                                        0,
                                        reason);
                long began = System.nanoTime();
                try {
                    if (client.change(change, true, now() + 60_000).path("answer").has("version")) {
                        acknowledged.put(reason, true);
                    }
                    agreeing.recordValue((System.nanoTime() - began) / 1_000);
                } catch (IOException unknown) {
                    troubles.add(reason + " not answered: " + unknown.getMessage());
                }
                TimeUnit.MILLISECONDS.sleep(own.nextInt(40));
            }
        } catch (IOException | InterruptedException ended) {
            troubles.add("client " + number + ": " + ended);
        }
    }

    /** A proxy and its zone's collector, whose reports would move the tables all the time. */
    private void standIn(int member) {
        SplittableRandom own = new SplittableRandom(member);
        while (!over) {
            int port = governors.streams(member);
            try (Socket proxy = new Socket(InetAddress.getLoopbackAddress(), port);
                    Socket collector = new Socket(InetAddress.getLoopbackAddress(), port)) {
                say(
                        proxy,
                        "joined",
                        "sidecar",
                        "0",
                        "az",
                        "hall-a",
                        "share",
                        "20",
                        "standing",
                        "1");
                say(collector, "collector", "az", "hall-a");
                Thread reader = new Thread(() -> read(member, proxy), "orders of n" + member);
                reader.setDaemon(true);
                reader.start();
                while (!over) {
                    say(
                            proxy, "usage", "sidecar", "0", "kind", "subset", "n", "20", "bad", "0",
                            "window", "1000");
                    for (int i = 0; i < 6; i++) {
                        say(
                                collector,
                                "heard",
                                "az",
                                "hall-a",
                                "host",
                                "s-" + i,
                                "n",
                                Integer.toString(20 + own.nextInt(200)),
                                "bad",
                                "0",
                                "avg",
                                "20",
                                "window",
                                "1000",
                                "report",
                                "util:0." + (1 + own.nextInt(8)));
                    }
                    TimeUnit.MILLISECONDS.sleep(200);
                }
            } catch (IOException | IllegalArgumentException down) {
                java.util.concurrent.locks.LockSupport.parkNanos(100_000_000);
            } catch (InterruptedException ended) {
                return;
            }
        }
    }

    private static void say(Socket to, String... words) throws IOException {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        OutputStream out = to.getOutputStream();
        out.write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    /** Orders as they come: one with a weight above nothing, or a replica let back, is new. */
    private void read(int member, Socket proxy) {
        byte[] piece = new byte[1 << 16];
        try {
            InputStream in = proxy.getInputStream();
            for (int count = in.read(piece); count >= 0; count = in.read(piece)) {
                String text = new String(piece, 0, count, StandardCharsets.US_ASCII);
                orderCount.incrementAndGet();
                boolean gives =
                        text.contains("lines\r\n")
                                && Pattern.compile("s-\\d+:(?!0[,\r])").matcher(text).find();
                if ((gives || text.contains("back\r\n")) && minority(member)) {
                    minority.incrementAndGet();
                    troubles.add(
                            "n"
                                    + member
                                    + " ordered though it was cut off: "
                                    + text.replaceAll("\\s+", " "));
                }
            }
        } catch (IOException ended) {
            // The governor went.
        }
    }

    // ---- the verdict ----------------------------------------------------------------------------

    /** Waits until all have applied the same. */
    private void settle() throws IOException, InterruptedException {
        long end = now() + 60_000;
        for (Set<Long> versions = new HashSet<>(); now() < end; TimeUnit.MILLISECONDS.sleep(200)) {
            versions.clear();
            for (int i = 0; i < members; i++) {
                try (ClusterClient client =
                        new ClusterClient(List.of(governors.front(i)), chance, 1_500)) {
                    versions.add(
                            client.ask(governors.front(i), ClusterClient.call("status"))
                                    .path("applied")
                                    .asLong());
                } catch (IOException busy) {
                    versions.add(-1L);
                }
            }
            if (versions.size() == 1 && !versions.contains(-1L)) {
                TimeUnit.MILLISECONDS.sleep(500);
                return;
            }
        }
        troubles.add("members did not come to the same entry within 60 s");
        disordered.incrementAndGet();
    }

    private Outcome judge() {
        int lost = 0;
        for (String reason : acknowledged.keySet()) {
            if (!places.containsKey(reason)) {
                lost++;
                troubles.add(reason + " was acknowledged and is nowhere");
            }
        }
        int twice = 0;
        for (Map.Entry<String, Set<Long>> each : places.entrySet()) {
            if (each.getValue().size() > 1) {
                twice++;
                troubles.add(each.getKey() + " took effect at " + each.getValue());
            }
        }
        // What a member skipped by a snapshot aside, versions must follow each other without a gap.
        TreeMap<Long, String> all = new TreeMap<>(contents);
        long version = 0;
        for (Map.Entry<Long, String> each : all.entrySet()) {
            Matcher number = Pattern.compile("\"version\":(\\d+)").matcher(each.getValue());
            if (!number.find() || Long.parseLong(number.group(1)) != ++version) {
                disordered.incrementAndGet();
                troubles.add(
                        "entry "
                                + each.getKey()
                                + " is not version "
                                + version
                                + ": "
                                + each.getValue());
                break;
            }
        }
        progress.accept(String.format(Locale.ROOT, "%d orders to proxies seen", orderCount.get()));
        return new Outcome(
                contents.size(),
                lost,
                twice,
                disordered.get(),
                minority.get(),
                faults,
                agreeing.copy(),
                List.copyOf(troubles));
    }
}
