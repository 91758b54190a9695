package rockshift.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.capacity.ControllerRun;
import rockshift.capacity.ControllerSample;
import rockshift.capacity.ControllerSweep;
import rockshift.capacity.FleetShape;
import rockshift.capacity.SlopeFit;
import rockshift.testkit.MeasurementCharts;

/** Measures one real controller with fleets of several sizes. */
@Command(
        name = "governor",
        mixinStandardHelpOptions = true,
        description =
                "Runs one real controller with fleets of several sizes, and fits lines through its"
                        + " resource usage.")
final class ScaleControllerCommand implements Callable<Integer> {
    private static final String FIT_HEADER =
            "sweep,figure,runs,from,to,intercept,slope,slope_low,slope_high,residual,"
                    + "determination,mean,squares\n";

    @Spec private CommandSpec spec;

    @Option(
            names = "--replicas",
            split = ",",
            defaultValue = "60,300,1000,3000,6500",
            description = "numbers of replicas (default: ${DEFAULT-VALUE})")
    private int[] replicas;

    @Option(
            names = "--classes",
            split = ",",
            defaultValue = "2",
            description = "numbers of request classes (default: ${DEFAULT-VALUE})")
    private int[] classes;

    @Option(
            names = "--proxies",
            split = ",",
            defaultValue = "16",
            description = "numbers of proxies (default: ${DEFAULT-VALUE})")
    private int[] proxies;

    @Option(
            names = "--zones",
            defaultValue = "3",
            description = "number of zones (default: ${DEFAULT-VALUE})")
    private int zones;

    @Option(
            names = "--runs",
            defaultValue = "3",
            description =
                    "runs of each size, in addition to one that measures the heap (default:"
                            + " ${DEFAULT-VALUE})")
    private int runs;

    @Option(
            names = "--tables",
            defaultValue = "15",
            paramLabel = "SECONDS",
            description = "maximum wait until all proxies have tables (default: ${DEFAULT-VALUE})")
    private int tablesSeconds;

    @Option(
            names = "--settle",
            defaultValue = "20",
            paramLabel = "SECONDS",
            description = "pause before the measurement (default: ${DEFAULT-VALUE})")
    private int settleSeconds;

    @Option(
            names = "--watch",
            defaultValue = "6",
            paramLabel = "SECONDS",
            description = "duration of the measurement (default: ${DEFAULT-VALUE})")
    private int watchSeconds;

    @Option(names = "--json", description = "print runs and fitted lines as JSON")
    private boolean json;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "folder for the chart and the CSV files, which are appended to")
    private Path outputFolder;

    @Override
    public Integer call() throws Exception {
        List<FleetShape> shapes = new ArrayList<>();
        for (int replicaCount : replicas) {
            for (int classCount : classes) {
                for (int proxyCount : proxies) {
                    shapes.add(new FleetShape(replicaCount, classCount, proxyCount, zones));
                }
            }
        }
        ControllerSweep sweep = new ControllerSweep();
        sweep.run(
                shapes,
                runs,
                new ControllerRun.Times(
                        TimeUnit.SECONDS.toMillis(tablesSeconds),
                        TimeUnit.SECONDS.toMillis(settleSeconds),
                        TimeUnit.SECONDS.toMillis(watchSeconds)),
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
            print(sweep, size, fits);
        }
        if (outputFolder != null) {
            writeFiles(sweep, size, fits);
        }
        return sweep.samples().stream().anyMatch(ControllerSample::isVoid)
                ? Commands.FAILURE
                : Commands.SUCCESS;
    }

    private void print(
            ControllerSweep sweep,
            ControllerSweep.Size size,
            Map<ControllerSweep.Figure, SlopeFit> fits) {
        PrintWriter out = spec.commandLine().getOut();
        for (ControllerSweep.Figure figure : ControllerSweep.Figure.values()) {
            out.println(figure.description());
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

    private void writeFiles(
            ControllerSweep sweep,
            ControllerSweep.Size size,
            Map<ControllerSweep.Figure, SlopeFit> fits)
            throws IOException {
        Files.createDirectories(outputFolder);
        FigureTables.append(
                outputFolder.resolve("governor.csv"),
                ControllerSample.HEADER + "\n",
                sweep.samples().stream()
                        .map(sample -> sample.row() + "\n")
                        .collect(Collectors.joining()));
        FigureTables.append(
                outputFolder.resolve("governor-lines.csv"),
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
                outputFolder.resolve("governor-" + size.toString().replace(' ', '-') + ".png"),
                "One controller: median CPU time by " + size,
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
