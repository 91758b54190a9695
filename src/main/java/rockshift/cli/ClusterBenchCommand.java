package rockshift.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.testkit.ClusterBenchmark;
import rockshift.testkit.MeasurementCharts;

/** Measures the cost of agreeing on changes, with its own members on loopback. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description =
                "Measures the cost of agreeing on changes on this machine, and in the same run the"
                        + " costs that bound it.")
final class ClusterBenchCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--changes",
            defaultValue = "2000",
            description = "number of changes made one at a time (default: ${DEFAULT-VALUE})")
    private int changes;

    @Option(
            names = "--kills",
            defaultValue = "50",
            description = "number of leaders stopped (default: ${DEFAULT-VALUE})")
    private int kills;

    @Option(
            names = "--memory",
            paramLabel = "CHANGES",
            description = "measure only the memory of three members during this many changes")
    private long memoryChanges;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "folder for the table and the chart")
    private Path outputFolder;

    @Override
    public Integer call() throws Exception {
        if (memoryChanges > 0) {
            Map<String, Double> figures = new LinkedHashMap<>();
            new ClusterBenchmark(Files.createTempDirectory("rockshift-bench"))
                    .measureMemory(memoryChanges)
                    .forEach((done, megabytes) -> figures.put(done + " changes, MB", megabytes));
            return report(figures, "memory", "Memory of a cluster member, heap of 64 MB", "MB");
        }
        Map<String, Double> figures =
                new ClusterBenchmark(Files.createTempDirectory("rockshift-bench"))
                        .run(changes, kills);
        return report(figures, "bench", "Cost of agreement relative to what bounds it", "ratio");
    }

    /**
     * Prints the figures and writes their files. Of the benchmark, the chart shows only the ratios,
     * which are comparable.
     */
    private int report(Map<String, Double> figures, String name, String title, String unit)
            throws IOException {
        FigureTables.print(spec.commandLine().getOut(), "%-36s %12.2f%n", figures);
        if (outputFolder != null) {
            Files.createDirectories(outputFolder);
            FigureTables.write(outputFolder.resolve(name + ".csv"), figures);
            Map<String, Double> drawn = new LinkedHashMap<>(figures);
            drawn.keySet().removeIf(what -> unit.equals("ratio") && !what.contains(" / "));
            MeasurementCharts.drawBars(outputFolder.resolve(name + ".png"), title, unit, drawn);
        }
        return Commands.SUCCESS;
    }
}
