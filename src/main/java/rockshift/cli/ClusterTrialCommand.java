package rockshift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.testkit.FaultTrial;
import rockshift.testkit.MeasurementCharts;

/** Runs members on loopback with injected faults, and compares what they applied. */
@Command(
        name = "trial",
        mixinStandardHelpOptions = true,
        description =
                "Runs controllers, kills, pauses and partitions them at random while clients"
                        + " propose changes, and compares what they applied.")
final class ClusterTrialCommand implements Callable<Integer> {
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final int MAX_PROBLEMS = 50;

    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            defaultValue = "5",
            description = "number of members, 3 or 5 (default: ${DEFAULT-VALUE})")
    private int members;

    @Option(
            names = "--minutes",
            defaultValue = "1",
            description = "duration in minutes (default: ${DEFAULT-VALUE})")
    private double minutes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "random seed of the faults and proposals (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "folder for the table and the chart")
    private Path outputFolder;

    @Override
    public Integer call() throws Exception {
        Path folder = Files.createTempDirectory("rockshift-trial");
        FaultTrial.Outcome outcome =
                new FaultTrial(folder, members, (long) (minutes * 60), seed, System.err::println)
                        .run();
        PrintWriter out = spec.commandLine().getOut();
        outcome.problems().stream().limit(MAX_PROBLEMS).forEach(out::println);
        if (outputFolder != null) {
            writeFiles(outcome);
        }
        out.println(outcome.summary());
        return outcome.passed() ? Commands.SUCCESS : Commands.FAILURE;
    }

    private void writeFiles(FaultTrial.Outcome outcome) throws IOException {
        Files.createDirectories(outputFolder);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("members", (double) members);
        figures.put("minutes", minutes);
        figures.put("seed", (double) seed);
        figures.put("faults", (double) outcome.faults());
        figures.put("applied", (double) outcome.applied());
        figures.put("lost", (double) outcome.lost());
        figures.put("twice", (double) outcome.duplicated());
        figures.put("out of order", (double) outcome.disordered());
        figures.put("minority orders", (double) outcome.minorityCommands());
        for (double percentile : PERCENTILES) {
            figures.put(
                    "agreed in ms p" + percentile,
                    outcome.commitLatency().getValueAtPercentile(percentile) / 1_000.0);
        }
        FigureTables.write(outputFolder.resolve("trial.csv"), figures);
        MeasurementCharts.drawLatencyTail(
                outputFolder.resolve("trial.png"),
                "Time until a change was agreed, under faults",
                outcome.commitLatency());
    }
}
