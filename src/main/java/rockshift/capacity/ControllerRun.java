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
 * One measured run of a real controller in its own process, connected to a simulated fleet. The
 * measurement starts once all proxies have tables or the wait for them times out. It owns the
 * process and all its peers; the process is also killed when this JVM shuts down.
 */
public final class ControllerRun implements AutoCloseable {
    private static final Pattern PORT = Pattern.compile("serves on .*, port (\\d+)");

    /**
     * Matches a line of the garbage collector's log: heap before and after a collection, and
     * committed heap.
     */
    private static final Pattern COLLECTION = Pattern.compile("(\\d+)M->(\\d+)M\\((\\d+)M\\)");

    private static final String DECISION_THREAD = "event-loop";
    private static final String FOLDER_PREFIX = "rockshift-scale";

    /**
     * The longest delay of the simulated fleet's reports for which a run is not void: two report
     * rounds.
     */
    private static final long MAX_REPORT_DELAY_MILLIS = 100;

    /**
     * The durations of a run's phases, in ms.
     *
     * @param tables the timeout for all proxies to have tables
     * @param settle the time after that until the measurement
     * @param watch the length of the measurement
     */
    public record Times(long tables, long settle, long watch) {}

    private final FleetShape shape;
    private final Path folder;
    private final boolean watchHeap;
    private final StaticDiscoveryServer discovery;
    private final LoggedProcess controller;
    private final Thread shutdownHook;

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
        shutdownHook = new Thread(this::cleanUp);
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Runs once, with its files in a temporary folder. With heap measurement, the garbage
     * collector's log is on and the other figures must not be used for fits.
     *
     * @param run the number of the run, which is also the seed of its reports
     * @param parentFolder the folder in which the temporary folder is created
     */
    public static ControllerSample measure(
            FleetShape shape, int run, boolean watchHeap, Times times, Path parentFolder)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory(parentFolder, FOLDER_PREFIX);
        try (ControllerRun controller = new ControllerRun(shape, folder, watchHeap)) {
            return controller.measure(run, times);
        }
    }

    /** Kills the process and deletes its files; also run when this JVM shuts down. */
    private void cleanUp() {
        controller.close();
        for (String file : List.of("governor.json", "gc.log", "")) {
            folder.resolve(file).toFile().delete();
        }
    }

    /** All counters, read at one moment. */
    private record Counts(
            ProcessUsage usage,
            FleetSimulator.Traffic traffic,
            StaticDiscoveryServer.Traffic discoveryTraffic) {}

    private ControllerSample measure(int run, Times times)
            throws IOException, InterruptedException {
        try (FleetSimulator fleet = new FleetSimulator(shape, controller.awaitPort(), run)) {
            double tables = awaitTables(fleet, times.tables());
            try {
                TimeUnit.MILLISECONDS.sleep(times.settle());
                long delayBefore = fleet.longestDelayMillis();
                Counts before = count(fleet);
                TimeUnit.MILLISECONDS.sleep(times.watch());
                Counts after = count(fleet);
                boolean late =
                        fleet.longestDelayMillis() > Math.max(delayBefore, MAX_REPORT_DELAY_MILLIS);
                return sample(run, fleet, tables, before, after, late);
            } catch (IOException failure) {
                if (controller.isAlive()) {
                    throw failure;
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
        double decisionShare = after.usage().coreShareSince(before.usage(), DECISION_THREAD);
        FleetSimulator.Traffic from = before.traffic();
        FleetSimulator.Traffic to = after.traffic();
        Heap heap = watchHeap ? heap() : new Heap(Double.NaN, Double.NaN);
        return new ControllerSample(
                shape,
                run,
                share,
                decisionShare,
                share - decisionShare,
                (to.bytesIn() - from.bytesIn()) / seconds,
                (to.bytesOut() - from.bytesOut()) / seconds,
                (to.messagesIn() - from.messagesIn()) / seconds,
                (to.messagesOut() - from.messagesOut()) / seconds,
                (after.discoveryTraffic().bytes() - before.discoveryTraffic().bytes()) / seconds,
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

    /** Returns the seconds until all proxies had a table, or NaN after the timeout. */
    private double awaitTables(FleetSimulator fleet, long timeoutMillis)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        while (fleet.withTables() < shape.proxies()) {
            if (System.nanoTime() - startNanos > TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
                return Double.NaN;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** The heap in use after the last collection and the maximum committed heap, in MB. */
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
        cleanUp();
        discovery.close();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}
