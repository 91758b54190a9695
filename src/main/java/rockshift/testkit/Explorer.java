package rockshift.testkit;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

/** Plays many seeds of a {@link SimulatedCluster}, side by side. */
public final class Explorer {
    private Explorer() {}

    /** What so many seeds came to; the worlds that broke a promise, by seed. */
    public record Findings(
            long seeds, long steps, long changes, List<SimulatedCluster.Result> broken) {
        public static final Findings NONE = new Findings(0, 0, 0, List.of());

        public Findings and(Findings other) {
            return new Findings(
                    seeds + other.seeds,
                    steps + other.steps,
                    changes + other.changes,
                    Stream.concat(broken.stream(), other.broken.stream()).toList());
        }

        public String line() {
            return "explore: "
                    + seeds
                    + " seeds, "
                    + steps
                    + " steps, "
                    + broken.size()
                    + " violations";
        }
    }

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
                results.stream().mapToLong(SimulatedCluster.Result::changes).sum(),
                results.stream().filter(result -> result.violation() != null).toList());
    }

    /** Plays seeds until one breaks a promise; answers one that does, or -1 after so many. */
    public static long until(
            long first, long most, int members, Supplier<FaultInjection> injection) {
        return LongStream.range(first, first + most)
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
