package rockshift.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** Runs of one real controller over several sizes, and linear fits of its resource usage. */
public final class ControllerSweep {
    /** The core share from which a controller is saturated; such runs are left out of fits. */
    private static final double SATURATED_CORE_SHARE = 0.95;

    /** A quantity that is measured in each run and fitted against the size. */
    public enum Figure {
        CORE_SHARE("core", ControllerSample::coreShare),
        DECISION_SHARE("share of a core that decides", ControllerSample::decisionShare),
        SOCKET_SHARE(
                "share of a core for sockets and the virtual machine",
                ControllerSample::socketShare),
        BYTES_IN("bytes a second in", ControllerSample::bytesIn),
        BYTES_OUT("B/s out", ControllerSample::bytesOut),
        MESSAGES_IN("messages a second in", ControllerSample::messagesIn),
        MESSAGES_OUT("messages a second out", ControllerSample::messagesOut),
        RESIDENT("MB resident", ControllerSample::residentMegabytes),
        PEAK("MB at the peak", ControllerSample::peakMegabytes),
        HEAP("MB of heap after a collection", ControllerSample::heapMegabytes),
        TABLES("s until all proxies have tables", ControllerSample::tablesSeconds);

        private final String description;
        private final ToDoubleFunction<ControllerSample> of;

        Figure(String description, ToDoubleFunction<ControllerSample> of) {
            this.description = description;
            this.of = of;
        }

        /** The description of the figure, with its unit. */
        public String description() {
            return description;
        }

        /** The value of the figure in one run. */
        public double of(ControllerSample sample) {
            return of.applyAsDouble(sample);
        }
    }

    /**
     * The measure of size: the dimension that a sweep varies, or replicas times classes if it
     * varies both.
     */
    public enum Size {
        REPLICAS(shape -> shape.replicas()),
        CLASSES(shape -> shape.classes()),
        PROXIES(shape -> shape.proxies()),
        REPLICAS_TIMES_CLASSES(shape -> (double) shape.replicas() * shape.classes());

        private final ToDoubleFunction<FleetShape> of;

        Size(ToDoubleFunction<FleetShape> of) {
            this.of = of;
        }

        /** The size of a shape. */
        public double of(FleetShape shape) {
            return of.applyAsDouble(shape);
        }

        @Override
        public String toString() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }

        /** Returns the measure of size in which the shapes differ. */
        public static Size of(List<FleetShape> shapes) {
            boolean replicas =
                    shapes.stream().mapToInt(FleetShape::replicas).distinct().count() > 1;
            boolean classes = shapes.stream().mapToInt(FleetShape::classes).distinct().count() > 1;
            boolean proxies = shapes.stream().mapToInt(FleetShape::proxies).distinct().count() > 1;
            if (proxies) {
                return PROXIES;
            }
            return replicas && classes ? REPLICAS_TIMES_CLASSES : classes ? CLASSES : REPLICAS;
        }
    }

    /** The median, minimum and maximum of a figure over runs. */
    public record Spread(double median, double least, double most) {
        static Spread of(double[] values) {
            double[] sorted =
                    Arrays.stream(values).filter(value -> !Double.isNaN(value)).sorted().toArray();
            if (sorted.length == 0) {
                return new Spread(Double.NaN, Double.NaN, Double.NaN);
            }
            return new Spread(
                    (sorted[(sorted.length - 1) / 2] + sorted[sorted.length / 2]) / 2,
                    sorted[0],
                    sorted[sorted.length - 1]);
        }
    }

    private final List<ControllerSample> samples = new ArrayList<>();

    /**
     * Runs each shape several times, and once more with heap measurement. The runs of one shape run
     * in parallel, each with its own process and fleet, because each takes half a minute until the
     * costs of starting are over.
     *
     * @param runs the number of runs without heap measurement
     * @param parentFolder the folder for the runs' temporary folders
     */
    public void run(
            List<FleetShape> shapes,
            int runs,
            ControllerRun.Times times,
            Path parentFolder,
            Consumer<String> progress)
            throws IOException, InterruptedException {
        ExecutorService executor = Executors.newFixedThreadPool(runs + 1);
        try {
            for (FleetShape shape : shapes) {
                List<Callable<ControllerSample>> tasks = new ArrayList<>();
                for (int run = 0; run <= runs; run++) {
                    int number = run;
                    tasks.add(
                            () ->
                                    ControllerRun.measure(
                                            shape, number, number == 0, times, parentFolder));
                }
                for (Future<ControllerSample> run : executor.invokeAll(tasks)) {
                    add(run.get(), progress);
                }
            }
        } catch (ExecutionException failure) {
            throw new IOException(
                    "controller run failed: " + failure.getCause().getMessage(),
                    failure.getCause());
        } finally {
            executor.shutdownNow();
        }
    }

    private void add(ControllerSample sample, Consumer<String> progress) {
        samples.add(sample);
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "%s, run %d%s: %.1f%% of a core, %.1f MB, tables after %.1f s%s",
                        sample.shape(),
                        sample.run(),
                        sample.run() == 0 ? " (heap)" : "",
                        100 * sample.coreShare(),
                        sample.residentMegabytes(),
                        sample.tablesSeconds(),
                        sample.died()
                                ? ", controller process exited"
                                : sample.isVoid() ? ", void: simulated fleet was late" : ""));
    }

    /** The samples of all runs so far, including void ones. */
    public List<ControllerSample> samples() {
        return samples;
    }

    /**
     * Returns the samples for a figure: those with heap measurement for the heap, the others for
     * all other figures. Void runs are left out.
     */
    private List<ControllerSample> validSamples(Figure figure) {
        return samples.stream()
                .filter(
                        sample ->
                                !sample.isVoid()
                                        && (sample.run() == 0) == (figure == Figure.HEAP)
                                        && !Double.isNaN(figure.of(sample)))
                .toList();
    }

    /** The spread of a figure by shape. */
    public Map<FleetShape, Spread> spreads(Figure figure) {
        Map<FleetShape, Spread> all = new LinkedHashMap<>();
        for (ControllerSample sample : samples) {
            all.computeIfAbsent(
                    sample.shape(),
                    shape ->
                            Spread.of(
                                    validSamples(figure).stream()
                                            .filter(other -> other.shape().equals(shape))
                                            .mapToDouble(figure::of)
                                            .toArray()));
        }
        return all;
    }

    /**
     * Returns linear fits of the runs below saturation. Figures with fewer than three such runs, or
     * with runs at only one size, are left out.
     */
    public Map<Figure, SlopeFit> fits(Size size) {
        Map<Figure, SlopeFit> fits = new LinkedHashMap<>();
        for (Figure figure : Figure.values()) {
            List<ControllerSample> points =
                    validSamples(figure).stream()
                            .filter(sample -> sample.coreShare() < SATURATED_CORE_SHARE)
                            .toList();
            if (points.size() > 2
                    && points.stream()
                                    .mapToDouble(sample -> size.of(sample.shape()))
                                    .distinct()
                                    .count()
                            > 1) {
                fits.put(
                        figure,
                        SlopeFit.of(
                                points.stream()
                                        .mapToDouble(sample -> size.of(sample.shape()))
                                        .toArray(),
                                points.stream().mapToDouble(figure::of).toArray()));
            }
        }
        return fits;
    }
}
