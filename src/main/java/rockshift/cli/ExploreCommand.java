package rockshift.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import rockshift.testkit.Explorer;
import rockshift.testkit.FaultInjection;
import rockshift.testkit.SimulatedCluster;

/** Runs simulated clusters. */
@Command(
        name = "explore",
        mixinStandardHelpOptions = true,
        description =
                "Runs the cluster's own code in simulated clusters with many faults, and checks its"
                        + " guarantees.")
final class ExploreCommand implements Callable<Integer> {
    /** Seeds between two progress messages. */
    private static final long STEP = 1_000;

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            defaultValue = "1000",
            description = "number of seeds (default: ${DEFAULT-VALUE})")
    private long seeds;

    @Option(
            names = "--first",
            defaultValue = "1",
            description = "the first seed (default: ${DEFAULT-VALUE})")
    private long first;

    @Option(
            names = "--members",
            defaultValue = "3",
            description = "number of members, 3 or 5 (default: ${DEFAULT-VALUE})")
    private int members;

    @Option(names = "--seed", description = "run only this seed, and print its events")
    private Long seed;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (seed != null) {
            SimulatedCluster.Result result =
                    new SimulatedCluster(seed, members, new FaultInjection(), true).run();
            result.trace().forEach(out::println);
            out.println(
                    "seed "
                            + seed
                            + ": "
                            + (result.violation() == null ? "no violation" : result.violation()));
            return result.violation() == null ? Commands.SUCCESS : Commands.FAILURE;
        }
        Explorer.Findings all = Explorer.Findings.NONE;
        for (long done = 0; done < seeds; done += STEP) {
            Explorer.Findings part =
                    Explorer.explore(
                            first + done,
                            Math.min(STEP, seeds - done),
                            members,
                            FaultInjection::new);
            all = all.plus(part);
            part.violations()
                    .forEach(
                            result ->
                                    out.println(
                                            "seed " + result.seed() + ": " + result.violation()));
            if (System.console() != null) {
                System.err.print("\r" + Math.min(seeds, done + STEP) + " of " + seeds);
            }
        }
        out.println(all.summary());
        return all.violations().isEmpty() ? Commands.SUCCESS : Commands.FAILURE;
    }
}
