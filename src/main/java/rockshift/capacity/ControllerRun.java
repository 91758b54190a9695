package rockshift.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import rockshift.testkit.LoggedProcess;
import rockshift.testkit.ProcessUsage;
import rockshift.testkit.ProgramCommand;
import rockshift.testkit.StaticDiscoveryServer;

/**
 * One real controller as a process of its own, with a fleet of some shape before it, watched for a
 * while once all proxies have tables or the wait for them is over. It owns the process and
 * everything it talks to, and ends them also when it is ended.
 */
public final class ControllerRun implements AutoCloseable {
    private static final Pattern PORT = Pattern.compile("serves on .*, port (\\d+)");

    /**
     * What the collector's log says after each collection: heap before, heap after, heap committed.
     */
    private static final Pattern COLLECTION = Pattern.compile("(\\d+)M->(\\d+)M\\((\\d+)M\\)");

    private static final String DECIDING_THREAD = "event-loop";
    private static final String FOLDER_PREFIX = "rockshift-scale";

    /**
     * Ms that a round of the simulated fleet's reports may be late before the run counts for
     * nothing: two rounds.
     */
    private static final long RIG_LATE_MILLIS = 100;

    /** How long a run waits and watches, in ms. */
    public record Times(long tables, long settle, long watch) {}

    private final FleetShape shape;
    private final Path folder;
    private final boolean watchHeap;
    private final StaticDiscoveryServer discovery;
    private final LoggedProcess controller;
    private final Thread atEnd;

    private ControllerRun(FleetShape shape, Path folder, boolean watchHeap) throws IOException {
        this.shape = shape;
        this.folder = folder;
        this.watchHeap = watchHeap;
        discovery = new StaticDiscoveryServer(shape.replicas(), shape.zoneNames());
        Path file =
                Files.writeString(
                        folder.resolve("governor.json"),
                        shape.configuration(discovery.port(), discovery.list()));
        List<String> options =
                watchHeap ? List.of("-Xlog:gc:file=" + folder.resolve("gc.log")) : List.of();
        controller =
                new LoggedProcess(ProgramCommand.serve(file, options, List.of()), PORT, line -> {});
        atEnd = new Thread(this::end);
        Runtime.getRuntime().addShutdownHook(atEnd);
    }

    /**
     * Runs once, with its files in a folder of its own under another while it runs. A run that
     * watches the heap has the collector's log on, and its other figures are not for slopes. The
     * run's number is the seed of its reports.
     */
    public static ControllerSample measure(
            FleetShape shape, int run, boolean watchHeap, Times times, Path under)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory(under, FOLDER_PREFIX);
        try (ControllerRun controller = new ControllerRun(shape, folder, watchHeap)) {
            return controller.measure(run, times);
        }
    }

    /** Ends the process and leaves nothing behind; also run when this program is ended. */
    private void end() {
        controller.close();
        for (String file : List.of("governor.json", "gc.log", "")) {
            folder.resolve(file).toFile().delete();
        }
    }

    /** What was counted at one moment. */
    private record Counts(
            ProcessUsage usage,
            FleetSimulator.Traffic traffic,
            StaticDiscoveryServer.Traffic asked) {}

    private ControllerSample measure(int run, Times times)
            throws IOException, InterruptedException {
        try (FleetSimulator fleet = new FleetSimulator(shape, controller.awaitPort(), run)) {
            double tables = awaitTables(fleet, times.tables());
            try {
                TimeUnit.MILLISECONDS.sleep(times.settle());
                long lateBefore = fleet.longestDelayMillis();
                Counts before = count(fleet);
                TimeUnit.MILLISECONDS.sleep(times.watch());
                Counts after = count(fleet);
                boolean late = fleet.longestDelayMillis() > Math.max(lateBefore, RIG_LATE_MILLIS);
                return sample(run, fleet, tables, before, after, late);
            } catch (IOException unread) {
                if (controller.isAlive()) {
                    throw unread;
                }
                return ControllerSample.died(
                        shape,
                        run,
                        tables,
                        fleet.withTables(),
                        fleet.lostConnections(),
                        loadAverage());
            }
        }
    }

    private Counts count(FleetSimulator fleet) throws IOException {
        return new Counts(ProcessUsage.of(controller.pid()), fleet.traffic(), discovery.traffic());
    }

    private static double loadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private ControllerSample sample(
            int run, FleetSimulator fleet, double tables, Counts before, Counts after, boolean late)
            throws IOException {
        double seconds = (after.usage().takenNanos() - before.usage().takenNanos()) / 1e9;
        double share = after.usage().coreShareSince(before.usage());
        double deciding = after.usage().coreShareSince(before.usage(), DECIDING_THREAD);
        FleetSimulator.Traffic from = before.traffic();
        FleetSimulator.Traffic to = after.traffic();
        Heap heap = watchHeap ? heap() : new Heap(Double.NaN, Double.NaN);
        return new ControllerSample(
                shape,
                run,
                share,
                deciding,
                share - deciding,
                (to.bytesIn() - from.bytesIn()) / seconds,
                (to.bytesOut() - from.bytesOut()) / seconds,
                (to.messagesIn() - from.messagesIn()) / seconds,
                (to.messagesOut() - from.messagesOut()) / seconds,
                (after.asked().bytes() - before.asked().bytes()) / seconds,
                after.usage().residentMegabytes(),
                after.usage().peakMegabytes(),
                heap.live(),
                heap.committed(),
                tables,
                fleet.withTables(),
                fleet.lostConnections(),
                fleet.droppedReports(),
                fleet.longestDelayMillis(),
                loadAverage(),
                late,
                false);
    }

    /** Seconds until all proxies had a table, or NaN where the wait was over before. */
    private double awaitTables(FleetSimulator fleet, long millis) throws InterruptedException {
        long began = System.nanoTime();
        while (fleet.withTables() < shape.proxies()) {
            if (System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(millis)) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return (System.nanoTime() - began) / 1e9;
    }

    /**
     * The heap that was left after the last collection, and the most that was ever committed, in
     * MB.
     */
    private record Heap(double live, double committed) {}

    private Heap heap() throws IOException {
        double live = Double.NaN;
        double committed = Double.NaN;
        for (String line : Files.readAllLines(folder.resolve("gc.log"))) {
            Matcher collection = COLLECTION.matcher(line);
            if (collection.find()) {
                live = Double.parseDouble(collection.group(2));
                committed =
                        Math.max(
                                Double.isNaN(committed) ? 0 : committed,
                                Double.parseDouble(collection.group(3)));
            }
        }
        return new Heap(live, committed);
    }

    @Override
    public void close() throws IOException {
        end();
        discovery.close();
        Runtime.getRuntime().removeShutdownHook(atEnd);
    }
}
