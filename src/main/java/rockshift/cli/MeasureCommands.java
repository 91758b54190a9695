package rockshift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.testkit.ClusterBenchmark;
import rockshift.testkit.FaultTrial;
import rockshift.testkit.MeasurementCharts;

/** Commands that start members of their own to try or measure them, on loopback. */
final class MeasureCommands {
    private MeasureCommands() {}

    @Command(
            name = "trial",
            mixinStandardHelpOptions = true,
            description =
                    "Starts governors, kills, stops and cuts them at random while clients propose,"
                            + " and compares them.")
    static final class TrialCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(names = "--members", defaultValue = "5", description = "3 or 5 (${DEFAULT-VALUE})")
        private int members;

        @Option(
                names = "--minutes",
                defaultValue = "1",
                description = "how long (${DEFAULT-VALUE})")
        private double minutes;

        @Option(
                names = "--seed",
                defaultValue = "1",
                description = "of the faults and proposals (${DEFAULT-VALUE})")
        private long seed;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                description = "where to keep the table and the chart")
        private Path kept;

        @Override
        public Integer call() throws Exception {
            Path folder = Files.createTempDirectory("rockshift-trial");
            FaultTrial.Outcome outcome =
                    new FaultTrial(
                                    folder,
                                    members,
                                    (long) (minutes * 60),
                                    seed,
                                    System.err::println)
                            .run();
            PrintWriter out = spec.commandLine().getOut();
            outcome.problems().stream().limit(50).forEach(out::println);
            if (kept != null) {
                Files.createDirectories(kept);
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
                for (double p : new double[] {50, 90, 99, 99.9, 100}) {
                    figures.put(
                            "agreed in ms p" + p,
                            outcome.commitLatency().getValueAtPercentile(p) / 1_000.0);
                }
                table(kept.resolve("trial.csv"), figures);
                MeasurementCharts.drawLatencyTail(
                        kept.resolve("trial.png"),
                        "Time until a change was agreed, under faults",
                        outcome.commitLatency());
            }
            out.println(outcome.summary());
            return outcome.passed() ? Commands.SUCCESS : Commands.FAILURE;
        }
    }

    @Command(
            name = "bench",
            mixinStandardHelpOptions = true,
            description =
                    "Measures what agreement costs here, beside what bounds it in the same run.")
    static final class BenchCommand implements Callable<Integer> {
        @Spec private CommandSpec spec;

        @Option(
                names = "--changes",
                defaultValue = "2000",
                description = "changes one at a time (${DEFAULT-VALUE})")
        private int changes;

        @Option(
                names = "--kills",
                defaultValue = "50",
                description = "leaders ended (${DEFAULT-VALUE})")
        private int kills;

        @Option(
                names = "--memory",
                paramLabel = "CHANGES",
                description = "measures only what three processes hold of memory")
        private long memory;

        @Option(
                names = "--out",
                paramLabel = "FOLDER",
                description = "where to keep the table and the chart")
        private Path kept;

        @Override
        public Integer call() throws Exception {
            if (memory > 0) {
                Map<String, Double> held = new LinkedHashMap<>();
                new ClusterBenchmark(Files.createTempDirectory("rockshift-bench"))
                        .measureMemory(memory)
                        .forEach((changes, mb) -> held.put(changes + " changes, MB", mb));
                return tell(
                        held, "memory", "Memory of a governor that agrees, heap of 64 MB", "MB");
            }
            Map<String, Double> figures =
                    new ClusterBenchmark(Files.createTempDirectory("rockshift-bench"))
                            .run(changes, kills);
            return tell(figures, "bench", "Agreement beside what bounds it", "ratio");
        }

        /** Prints and keeps figures; the chart shows those that can stand beside each other. */
        private int tell(Map<String, Double> figures, String name, String title, String unit)
                throws IOException {
            figures.forEach(
                    (what, value) ->
                            spec.commandLine()
                                    .getOut()
                                    .printf(Locale.ROOT, "%-36s %12.2f%n", what, value));
            if (kept != null) {
                Files.createDirectories(kept);
                table(kept.resolve(name + ".csv"), figures);
                Map<String, Double> drawn = new LinkedHashMap<>(figures);
                drawn.keySet().removeIf(what -> unit.equals("ratio") && !what.contains(" / "));
                MeasurementCharts.drawBars(kept.resolve(name + ".png"), title, unit, drawn);
            }
            return Commands.SUCCESS;
        }
    }

    private static void table(Path file, Map<String, Double> figures) throws IOException {
        StringBuilder text = new StringBuilder("figure,value\n");
        figures.forEach(
                (name, value) ->
                        text.append(String.format(Locale.ROOT, "\"%s\",%.3f%n", name, value)));
        Files.writeString(file, text);
    }
}
