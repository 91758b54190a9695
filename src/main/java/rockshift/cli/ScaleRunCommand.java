package rockshift.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.capacity.ScaleRun;
import rockshift.capacity.ScaleScenario;
import rockshift.distribution.wire.DistributionReactor;
import rockshift.testkit.MeasurementCharts;

/** Runs many controllers at once, and checks which changes they received. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Runs members, relays and many simulated controllers with changes and faults,"
                        + " and checks which changes they received.")
final class ScaleRunCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--governors",
            paramLabel = "<governors>",
            defaultValue = "1300",
            description = "number of simulated controllers (default: ${DEFAULT-VALUE})")
    private int controllers;

    @Option(
            names = "--processes",
            defaultValue = "2",
            description =
                    "number of real controller processes in addition (default: ${DEFAULT-VALUE})")
    private int processes;

    @Option(
            names = "--changes",
            defaultValue = "150",
            description = "number of changes (default: ${DEFAULT-VALUE})")
    private int changes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "random seed of the changes and faults (default: ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--change-rate",
            defaultValue = "100",
            description =
                    "multiple of the target's 1,300 changes a day (default: ${DEFAULT-VALUE})")
    private double changeRate;

    @Option(
            names = "--kill-rate",
            defaultValue = "100",
            description =
                    "multiple of the target's 442 restarts and lost machines a day"
                            + " (default: ${DEFAULT-VALUE})")
    private double killRate;

    @Option(
            names = "--cut-region",
            defaultValue = "0",
            description = "region to partition (default: ${DEFAULT-VALUE})")
    private int cutRegion;

    @Option(
            names = "--cut-seconds",
            defaultValue = "10",
            description =
                    "duration of the partition in seconds; 0 for none (default: ${DEFAULT-VALUE})")
    private int cutSeconds;

    @Option(names = "--json", description = "print figures as JSON before the last line")
    private boolean json;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description = "folder for the table, which is appended to, and the chart")
    private Path outputFolder;

    @Override
    public Integer call() throws Exception {
        // Thousands of connections open and close here, and each would be logged.
        System.setProperty(
                "org.slf4j.simpleLogger.log." + DistributionReactor.class.getName(), "error");
        ScaleScenario scenario =
                new ScaleScenario(
                        controllers,
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
            FigureTables.print(out, "%-52s %12.3f%n", outcome.figures());
        }
        outcome.verdict().examples().forEach(out::println);
        outcome.voidReasons().forEach(reason -> out.println("void: " + reason));
        if (outputFolder != null) {
            writeFiles(outcome);
        }
        out.println(outcome.summary());
        return outcome.passed() ? Commands.SUCCESS : Commands.FAILURE;
    }

    private void writeFiles(ScaleRun.Outcome outcome) throws IOException {
        Files.createDirectories(outputFolder);
        String label =
                controllers
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
        FigureTables.append(
                outputFolder.resolve("run.csv"),
                "governors,changes,seed,change_rate,kill_rate,cut_seconds,void,figure,value\n",
                rows.toString());
        if (outcome.verdict().inForceEverywhereMillis().getTotalCount() > 0) {
            MeasurementCharts.drawLatencyTail(
                    outputFolder.resolve("run-" + controllers + ".png"),
                    "Time until a change was in force everywhere, " + controllers + " controllers",
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
