package rockshift.testkit;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Runs simulations of a {@link SimulatedCluster} for many seeds in parallel. */
public final class Explorer {
    private Explorer() {}

    /** Totals over many seeds, and the results with a violation in the order of seeds. */
    public record Findings(
            long seeds, long steps, long changes, List<SimulatedCluster.Result> violations) {
        /** The findings of no seeds. */
        public static final Findings NONE = new Findings(0, 0, 0, List.of());

        /** Returns the sum of both findings. */
        public Findings plus(Findings other) {
            return new Findings(
                    seeds + other.seeds,
                    steps + other.steps,
                    changes + other.changes,
                    Stream.concat(violations.stream(), other.violations.stream()).toList());
        }

        /** A one-line summary for the command's output. */
        public String summary() {
            return "explore: "
                    + seeds
                    + " seeds, "
                    + steps
                    + " steps, "
                    + violations.size()
                    + " violations";
        }
    }

    /** Runs a range of seeds in parallel, each with its own {@link FaultInjection}. */
    public static Findings explore(
            long first, long seeds, int members, Supplier<FaultInjection> injection) {
        List<SimulatedCluster.Result> results =
                LongStream.range(first, first + seeds)
                        .parallel()
                        .mapToObj(
                                seed ->
                                        new SimulatedCluster(seed, members, injection.get(), false)
                                                .run())
                        .toList();
        return new Findings(
                seeds,
                results.stream().mapToLong(SimulatedCluster.Result::steps).sum(),
                results.stream().mapToLong(SimulatedCluster.Result::acknowledgedChanges).sum(),
                results.stream().filter(result -> result.violation() != null).toList());
    }

    /** Runs seeds until one violates an invariant; returns that seed, or -1 if none does. */
    public static long findViolation(
            long first, long maxSeeds, int members, Supplier<FaultInjection> injection) {
        return LongStream.range(first, first + maxSeeds)
                .parallel()
                .filter(
                        seed ->
                                new SimulatedCluster(seed, members, injection.get(), false)
                                                .run()
                                                .violation()
                                        != null)
                .findAny()
                .orElse(-1);
    }
}
