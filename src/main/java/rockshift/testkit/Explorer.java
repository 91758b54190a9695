package rockshift.testkit;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Plays many seeds of a {@link SimulatedCluster}, side by side. */
public final class Explorer {
    private Explorer() {}

    /** The results of many seeds, with those that violated something, by seed. */
    public record Findings(
            long seeds, long steps, long changes, List<SimulatedCluster.Result> violations) {
        /** The result of no seeds. */
        public static final Findings NONE = new Findings(0, 0, 0, List.of());

        /** These and others together. */
        public Findings plus(Findings other) {
            return new Findings(
                    seeds + other.seeds,
                    steps + other.steps,
                    changes + other.changes,
                    Stream.concat(violations.stream(), other.violations.stream()).toList());
        }

        /** One line for the command's output. */
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

    /** Plays seeds in parallel, each with faults of its own. */
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

    /** Plays seeds until one violates something; returns its number, or -1 after so many. */
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
