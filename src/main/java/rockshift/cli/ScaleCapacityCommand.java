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

/** Projects the measured costs to the target size. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Projects the costs in the tables that the other commands wrote to the target size,"
                        + " and compares them with the budgets.")
final class ScaleCapacityCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--from",
            required = true,
            paramLabel = "FOLDER",
            description = "folder of governor.csv and run.csv, and for the chart")
    private Path folder;

    @Override
    public Integer call() throws IOException {
        List<CapacityReport.Projection> projections = new CapacityReport(folder).projections();
        Map<String, Double> factors = new LinkedHashMap<>();
        projections.stream()
                .filter(CapacityReport.Projection::budgeted)
                .forEach(projection -> factors.put(projection.name(), projection.factor()));
        table(projections.stream().filter(CapacityReport.Projection::budgeted).toList());
        table(projections.stream().filter(projection -> !projection.budgeted()).toList());
        MeasurementCharts.drawBudgetFactors(
                folder.resolve("budgets.png"),
                "Cost at the target as a multiple of the budget: at most 1 is within budget",
                factors);
        return Commands.SUCCESS;
    }

    private void table(List<CapacityReport.Projection> rows) {
        PrintWriter out = spec.commandLine().getOut();
        out.println("| figure | at the target (95%) | budget | line |\n| --- | --- | --- | --- |");
        rows.forEach(projection -> out.println(projection.row()));
        out.println();
    }
}
