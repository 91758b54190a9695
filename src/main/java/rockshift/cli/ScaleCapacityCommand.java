package rockshift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.capacity.CapacityReport;
import rockshift.testkit.MeasurementCharts;

/** Works the target out from what was measured. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Works out the target from the tables that the other commands kept, beside"
                        + " the budgets.")
final class ScaleCapacityCommand implements Callable<Integer> {
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
        out.println("| figure | at the target (95%) | budget | line |\n| --- | --- | --- | --- |");
        rows.forEach(worked -> out.println(worked.row()));
        out.println();
    }
}
