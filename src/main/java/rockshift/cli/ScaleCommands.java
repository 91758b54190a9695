package rockshift.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.capacity.CapacityReport;
import rockshift.capacity.ControllerRun;
import rockshift.capacity.ControllerSample;
import rockshift.capacity.ControllerSweep;
import rockshift.capacity.FleetShape;
import rockshift.capacity.ScaleRun;
import rockshift.capacity.ScaleScenario;
import rockshift.capacity.SlopeFit;
import rockshift.testkit.MeasurementCharts;

/** How costs grow with size, on loopback. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures how costs grow with size, on loopback.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            ScaleCommands.GovernorCommand.class,
            ScaleCommands.RunCommand.class,
            ScaleCommands.CapacityCommand.class
        })
final class ScaleCommands extends CommandGroup {
    /** One real governor before fleets of several sizes. */
    @Command(
            name = "governor",
            mixinStandardHelpOptions = true,
            description =
                    "Runs one real governor before fleets of several sizes, and fits lines through"
                            + " what it used.")
    static final class GovernorCommand implements Callable<Integer> {
        private static final String FIT_HEADER =
                "sweep,figure,runs,from,to,intercept,slope,slope_low,slope_high,residual,"
                        + "determination,mean,squares\n";

        @Spec private CommandSpec spec;

        @Option(
                names = "--replicas",
                split = ",",
                defaultValue = "60,300,1000,3000,6500",
                description = "(${DEFAULT-VALUE})")
        private int[] replicas;

        @Option(
                names = "--classes",
                split = ",",
                defaultValue = "2",
                description = "(${DEFAULT-VALUE})")
        private int[] classes;

        @Option(
                names = "--proxies",
                split = ",",
                defaultValue = "16",
                description = "(${DEFAULT-VALUE})")
        private int[] proxies;

        @Option(names = "--zones", defaultValue = "3", description = "(${DEFAULT-VALUE})")
        private int zones;

        @Option(
                names = "--runs",
                defaultValue = "3",
                description = "at each size, beside one that watches the heap (${DEFAULT-VALUE})")
        private int runs;

        @Option(
                names = "--tables",
                defaultValue = "15",
                paramLabel = "SECONDS",
                description =
                        "how long to wait at most until all proxies have tables (${DEFAULT-VALUE})")
        private int tables;

        @Option(
                names = "--settle",
                defaultValue = "20",
                paramLabel = "SECONDS",
                description = "pause after that (${DEFAULT-VALUE})")
        private int settle;

        @Option(
                names = "--watch",
                defaultValue = "6",
                paramLabel = "SECONDS",
                description = "how long to count (${DEFAULT-VALUE})")
        private int watch;

        @Option(names = "--json", description = "print runs and lines as JSON")
        private boolean json;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                description = "where to add to the tables and keep the chart")
        private Path kept;

        @Override
        public Integer call() throws Exception {
            List<FleetShape> shapes = new ArrayList<>();
            for (int replica : replicas) {
                for (int kind : classes) {
                    for (int proxy : proxies) {
                        shapes.add(new FleetShape(replica, kind, proxy, zones));
                    }
                }
            }
            ControllerSweep sweep = new ControllerSweep();
            sweep.run(
                    shapes,
                    runs,
                    new ControllerRun.Times(
                            TimeUnit.SECONDS.toMillis(tables),
                            TimeUnit.SECONDS.toMillis(settle),
                            TimeUnit.SECONDS.toMillis(watch)),
                    Path.of(System.getProperty("java.io.tmpdir")),
                    System.err::println);
            ControllerSweep.Size size = ControllerSweep.Size.of(shapes);
            Map<ControllerSweep.Figure, SlopeFit> fits = sweep.fits(size);
            if (json) {
                spec.commandLine()
                        .getOut()
                        .println(
                                new ObjectMapper()
                                        .writeValueAsString(
                                                Map.of("runs", sweep.samples(), "lines", fits)));
            } else {
                tell(sweep, size, fits);
            }
            if (kept != null) {
                keep(sweep, size, fits);
            }
            return sweep.samples().stream().anyMatch(ControllerSample::isVoid)
                    ? Commands.FAILURE
                    : Commands.SUCCESS;
        }

        private void tell(
                ControllerSweep sweep,
                ControllerSweep.Size size,
                Map<ControllerSweep.Figure, SlopeFit> fits) {
            PrintWriter out = spec.commandLine().getOut();
            for (ControllerSweep.Figure figure : ControllerSweep.Figure.values()) {
                out.println(figure.unit());
                sweep.spreads(figure)
                        .forEach(
                                (shape, spread) ->
                                        out.printf(
                                                Locale.ROOT,
                                                "  %6d replicas %3d classes %4d proxies: %12.4f"
                                                        + " (%.4f to %.4f)%n",
                                                shape.replicas(),
                                                shape.classes(),
                                                shape.proxies(),
                                                spread.median(),
                                                spread.least(),
                                                spread.most()));
                SlopeFit fit = fits.get(figure);
                if (fit != null) {
                    out.printf(
                            Locale.ROOT,
                            "  line over %s %.0f to %.0f: %.4g + %.4g (%.4g to %.4g) each, r2"
                                    + " %.3f%n",
                            size,
                            fit.least(),
                            fit.most(),
                            fit.intercept(),
                            fit.slope(),
                            fit.slopeLow(),
                            fit.slopeHigh(),
                            fit.determination());
                }
            }
        }

        private void keep(
                ControllerSweep sweep,
                ControllerSweep.Size size,
                Map<ControllerSweep.Figure, SlopeFit> fits)
                throws IOException {
            Files.createDirectories(kept);
            append(
                    kept.resolve("governor.csv"),
                    ControllerSample.HEADER + "\n",
                    sweep.samples().stream()
                            .map(sample -> sample.row() + "\n")
                            .collect(Collectors.joining()));
            append(
                    kept.resolve("governor-lines.csv"),
                    FIT_HEADER,
                    fits.entrySet().stream()
                            .map(fit -> row(size, fit.getKey(), fit.getValue()))
                            .collect(Collectors.joining()));
            Map<String, Double> bars = new LinkedHashMap<>();
            sweep.spreads(ControllerSweep.Figure.CORE_SHARE)
                    .forEach(
                            (shape, spread) ->
                                    bars.put(
                                            shape.replicas()
                                                    + " x "
                                                    + shape.classes()
                                                    + ", "
                                                    + shape.proxies()
                                                    + " proxies",
                                            100 * spread.median()));
            MeasurementCharts.drawBars(
                    kept.resolve("governor-" + size.toString().replace(' ', '-') + ".png"),
                    "One governor: median processor time by " + size,
                    "% of a core",
                    bars);
        }

        private static String row(
                ControllerSweep.Size size, ControllerSweep.Figure figure, SlopeFit fit) {
            return String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%.0f,%.0f,%.6g,%.6g,%.6g,%.6g,%.6g,%.4f,%.6g,%.6g%n",
                    size,
                    figure,
                    fit.points(),
                    fit.least(),
                    fit.most(),
                    fit.intercept(),
                    fit.slope(),
                    fit.slopeLow(),
                    fit.slopeHigh(),
                    fit.residual(),
                    fit.determination(),
                    fit.mean(),
                    fit.squares());
        }
    }

    /** Many governors at once. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Runs members, relays and many hollow governors under changes and faults,"
                            + " and checks what they saw.")
    static final class RunCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--governors",
                defaultValue = "1300",
                description = "hollow ones (${DEFAULT-VALUE})")
        private int governors;

        @Option(
                names = "--processes",
                defaultValue = "2",
                description = "real governors beside them (${DEFAULT-VALUE})")
        private int processes;

        @Option(names = "--changes", defaultValue = "150", description = "(${DEFAULT-VALUE})")
        private int changes;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of changes and faults (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--change-rate",
                defaultValue = "100",
                description = "times the target's 1,300 changes a day (${DEFAULT-VALUE})")
        private double changeRate;

        @Option(
                names = "--kill-rate",
                defaultValue = "100",
                description =
                        "times the target's 442 restarts and lost machines a day"
                                + " (${DEFAULT-VALUE})")
        private double killRate;

        @Option(
                names = "--cut-region",
                defaultValue = "0",
                description = "which region is cut (${DEFAULT-VALUE})")
        private int cutRegion;

        @Option(
                names = "--cut-seconds",
                defaultValue = "10",
                description = "for how long; 0: not (${DEFAULT-VALUE})")
        private int cutSeconds;

        @Option(names = "--json", description = "print figures as JSON before the last line")
        private boolean json;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                description = "where to add to the table and keep the chart")
        private Path kept;

        @Override
        public Integer call() throws Exception {
            // Thousands of connections begin and end here, each with a line of its own.
            System.setProperty(
                    "org.slf4j.simpleLogger.log.rockshift.cluster.DistributionReactor", "error");
            ScaleScenario scenario =
                    new ScaleScenario(
                            governors,
                            processes,
                            changes,
                            seed,
                            changeRate,
                            killRate,
                            TimeUnit.SECONDS.toMillis(cutSeconds),
                            cutRegion);
            ScaleRun.Outcome outcome;
            try (ScaleRun run = new ScaleRun(scenario, System.err::println)) {
                outcome = run.run();
            }
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(new ObjectMapper().writeValueAsString(outcome.figures()));
            } else {
                outcome.figures()
                        .forEach(
                                (name, value) ->
                                        out.printf(Locale.ROOT, "%-52s %12.3f%n", name, value));
            }
            outcome.verdict().examples().forEach(out::println);
            outcome.voidReasons().forEach(reason -> out.println("void: " + reason));
            if (kept != null) {
                keep(outcome);
            }
            out.println(outcome.summary());
            return outcome.passed() ? Commands.SUCCESS : Commands.FAILURE;
        }

        private void keep(ScaleRun.Outcome outcome) throws IOException {
            Files.createDirectories(kept);
            String label =
                    governors
                            + ","
                            + changes
                            + ","
                            + seed
                            + ","
                            + changeRate
                            + ","
                            + killRate
                            + ","
                            + cutSeconds
                            + ","
                            + !outcome.voidReasons().isEmpty();
            StringBuilder rows = new StringBuilder();
            outcome.figures()
                    .forEach(
                            (name, value) ->
                                    rows.append(
                                            String.format(
                                                    Locale.ROOT,
                                                    "%s,\"%s\",%.4f%n",
                                                    label,
                                                    name,
                                                    value)));
            rows.append(label + ",\"" + outcome.summary() + "\",\n");
            outcome.voidReasons()
                    .forEach(reason -> rows.append(label + ",\"void: " + reason + "\",\n"));
            append(
                    kept.resolve("run.csv"),
                    "governors,changes,seed,change_rate,kill_rate,cut_seconds,void,figure,value\n",
                    rows.toString());
            if (outcome.verdict().inForceEverywhereMillis().getTotalCount() > 0) {
                MeasurementCharts.drawLatencyTail(
                        kept.resolve("run-" + governors + ".png"),
                        "Time until a change was in force everywhere, " + governors + " governors",
                        inMicros(outcome.verdict().inForceEverywhereMillis()));
            }
        }

        private static Histogram inMicros(Histogram millis) {
            Histogram micros = new Histogram(3);
            millis.recordedValues()
                    .forEach(
                            step ->
                                    micros.recordValueWithCount(
                                            step.getValueIteratedTo() * 1_000,
                                            step.getCountAtValueIteratedTo()));
            return micros;
        }
    }

    /** What was measured, at the target. */
    @Command(
            name = "capacity",
            mixinStandardHelpOptions = true,
            description =
                    "Works out the target from the tables that the other commands kept, beside"
                            + " the budgets.")
    static final class CapacityCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--from",
                required = true,
                paramLabel = "FOLDER",
                description = "where governor.csv and run.csv are, and the chart is kept")
        private Path folder;

        @Override
        public Integer call() throws IOException {
            List<CapacityReport.Projection> all = new CapacityReport(folder).projections();
            Map<String, Double> factors = new LinkedHashMap<>();
            all.stream()
                    .filter(CapacityReport.Projection::budgeted)
                    .forEach(worked -> factors.put(worked.what(), worked.factor()));
            table(all.stream().filter(CapacityReport.Projection::budgeted).toList());
            table(all.stream().filter(worked -> !worked.budgeted()).toList());
            MeasurementCharts.drawBudgetFactors(
                    folder.resolve("budgets.png"),
                    "Times the budget at the target: below 1 holds",
                    factors);
            return Commands.SUCCESS;
        }

        private void table(List<CapacityReport.Projection> rows) {
            PrintWriter out = spec.commandLine().getOut();
            out.println(
                    "| figure | at the target (95%) | budget | line |\n| --- | --- | --- | --- |");
            rows.forEach(worked -> out.println(worked.row()));
            out.println();
        }
    }

    private static void append(Path file, String header, String rows) throws IOException {
        Files.writeString(
                file,
                (Files.exists(file) ? "" : header) + rows,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }
}
