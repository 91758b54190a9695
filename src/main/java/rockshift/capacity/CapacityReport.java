package rockshift.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Projects measured figures to the target size by linear fits and compares them with budgets. It
 * reads the tables that the other commands write; void runs are left out.
 */
public final class CapacityReport {
    private static final double TARGET_CONTROLLERS = 1_300;

    /** The number of replicas in the average controller's scope; the largest has 100 times that. */
    private static final double AVERAGE_SCOPE_REPLICAS = 36;

    private static final double LARGEST_SCOPE_REPLICAS = 3_600;
    private static final double MANY_CLASSES = 12;
    private static final double MANY_PROXIES = 800;
    private static final int SMALL_SCOPE_REPLICAS = 300;
    private static final double CORE_SHARE_BUDGET = 0.037;
    private static final double MEMORY_BUDGET_MB = 64;
    private static final double BYTES_PER_SECOND_BUDGET = 10_000;
    private static final double IN_FORCE_BUDGET_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS;

    /**
     * One figure projected to the target size.
     *
     * @param name the name of the figure: role and unit
     * @param size the target size, in the unit of the fit
     * @param fit the fit of the measurements
     * @param budget the maximum value, or NaN if there is none
     */
    public record Projection(String name, double size, SlopeFit fit, double budget) {
        /** Whether there is a budget. */
        public boolean budgeted() {
            return !Double.isNaN(budget);
        }

        /** The projected value as a multiple of the budget. */
        public double factor() {
            return fit.at(size).value() / budget;
        }

        /** A row of a Markdown table. */
        public String row() {
            SlopeFit.Estimate at = fit.at(size);
            return String.format(
                    Locale.ROOT,
                    "| %s | %s (%s to %s)%s | %s | %s + %s each (%s to %s), "
                            + "%d runs from %.0f to %.0f, r2 %.2f |",
                    name,
                    format(at.value()),
                    format(at.low()),
                    format(at.high()),
                    at.isFar()
                            ? " **far: " + format(at.reach()) + " times what was measured**"
                            : "",
                    budgeted() ? verdict() : "",
                    format(fit.intercept()),
                    format(fit.slope()),
                    format(fit.slopeLow()),
                    format(fit.slopeHigh()),
                    fit.points(),
                    fit.least(),
                    fit.most(),
                    fit.determination());
        }

        private String verdict() {
            return (factor() <= 1 ? "holds" : "**does not hold**")
                    + ": "
                    + format(factor())
                    + " of "
                    + format(budget);
        }

        private static String format(double value) {
            return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%,.0f" : "%.3g", value);
        }
    }

    private final List<ControllerSample> samples = new ArrayList<>();
    private final List<RunFigure> figures = new ArrayList<>();

    /** One figure of one run of many controllers. */
    private record RunFigure(int controllers, String name, double value) {}

    /** Reads the tables in a folder; a missing table counts as empty. */
    public CapacityReport(Path folder) throws IOException {
        for (String row : rows(folder.resolve("governor.csv"))) {
            ControllerSample sample = ControllerSample.parse(row);
            if (!sample.isVoid()) {
                samples.add(sample);
            }
        }
        for (String row : rows(folder.resolve("run.csv"))) {
            String[] parts = row.split("\"");
            String[] run = parts[0].split(",");
            boolean isVoid = Boolean.parseBoolean(run[run.length - 1]);
            if (!isVoid && parts.length > 2 && parts[2].length() > 1) {
                figures.add(
                        new RunFigure(
                                Integer.parseInt(run[0]),
                                parts[1],
                                Double.parseDouble(parts[2].substring(1))));
            }
        }
    }

    private static List<String> rows(Path table) throws IOException {
        return Files.exists(table)
                ? Files.readAllLines(table).stream().skip(1).toList()
                : List.of();
    }

    /** Returns all projections of the tables; figures with too few runs are left out. */
    public List<Projection> projections() {
        List<Projection> projections = new ArrayList<>();
        addSweeps(projections);
        addRunFigures(projections);
        return projections;
    }

    private void addSweeps(List<Projection> projections) {
        Predicate<FleetShape> sixteenProxies = shape -> shape.proxies() == 16;
        Predicate<FleetShape> twoClasses = sixteenProxies.and(shape -> shape.classes() == 2);
        Set<ControllerSweep.Figure> budgeted =
                EnumSet.of(
                        ControllerSweep.Figure.CORE_SHARE,
                        ControllerSweep.Figure.PEAK,
                        ControllerSweep.Figure.BYTES_OUT);
        addSweep(
                projections,
                "average governor",
                ControllerSweep.Size.REPLICAS,
                AVERAGE_SCOPE_REPLICAS,
                twoClasses.and(shape -> shape.replicas() <= SMALL_SCOPE_REPLICAS),
                EnumSet.allOf(ControllerSweep.Figure.class));
        addSweep(
                projections,
                "average, 12 classes",
                ControllerSweep.Size.CLASSES,
                MANY_CLASSES,
                sixteenProxies.and(shape -> shape.replicas() == AVERAGE_SCOPE_REPLICAS),
                budgeted);
        addSweep(
                projections,
                "largest governor",
                ControllerSweep.Size.REPLICAS,
                LARGEST_SCOPE_REPLICAS,
                twoClasses.and(shape -> shape.replicas() >= SMALL_SCOPE_REPLICAS),
                EnumSet.allOf(ControllerSweep.Figure.class));
        addSweep(
                projections,
                "largest, 12 classes",
                ControllerSweep.Size.REPLICAS_TIMES_CLASSES,
                LARGEST_SCOPE_REPLICAS * MANY_CLASSES,
                sixteenProxies.and(shape -> shape.replicas() >= SMALL_SCOPE_REPLICAS),
                budgeted);
        addSweep(
                projections,
                "60 replicas, 800 proxies",
                ControllerSweep.Size.PROXIES,
                MANY_PROXIES,
                shape -> shape.replicas() == 60 && shape.classes() == 2,
                budgeted);
    }

    private void addRunFigures(List<Projection> projections) {
        addRunFigure(projections, "in force everywhere, longest ms", IN_FORCE_BUDGET_MILLIS);
        addRunFigure(projections, "governor, bytes a second", BYTES_PER_SECOND_BUDGET);
        for (String role : List.of("leader", "follower", "relay", "real governor")) {
            addRunFigure(
                    projections,
                    role + ", share of a core",
                    role.equals("real governor") ? CORE_SHARE_BUDGET : Double.NaN);
            addRunFigure(projections, role + ", bytes a second read", Double.NaN);
            addRunFigure(projections, role + ", bytes a second written", Double.NaN);
            addRunFigure(
                    projections,
                    role + ", most MB resident",
                    role.equals("real governor") ? MEMORY_BUDGET_MB : Double.NaN);
        }
        addRunFigure(projections, "busiest member, share of a core", Double.NaN);
        addRunFigure(projections, "all governors at once until in force, ms", Double.NaN);
        addRunFigure(projections, "all governors again at once until in force, ms", Double.NaN);
        addRunFigure(projections, "one governor started until in force, median ms", Double.NaN);
        addRunFigure(projections, "one governor started until in force, longest ms", Double.NaN);
    }

    private void addSweep(
            List<Projection> projections,
            String role,
            ControllerSweep.Size size,
            double targetSize,
            Predicate<FleetShape> shapes,
            Set<ControllerSweep.Figure> selected) {
        ControllerSweep sweep = new ControllerSweep();
        samples.stream()
                .filter(sample -> shapes.test(sample.shape()))
                .forEach(sweep.samples()::add);
        sweep.fits(size)
                .forEach(
                        (figure, line) -> {
                            if (selected.contains(figure)) {
                                projections.add(
                                        new Projection(
                                                role + ": " + figure.description(),
                                                targetSize,
                                                line,
                                                budget(figure)));
                            }
                        });
    }

    private static double budget(ControllerSweep.Figure figure) {
        return switch (figure) {
            case CORE_SHARE -> CORE_SHARE_BUDGET;
            case PEAK -> MEMORY_BUDGET_MB;
            case BYTES_OUT -> BYTES_PER_SECOND_BUDGET;
            default -> Double.NaN;
        };
    }

    private void addRunFigure(List<Projection> projections, String name, double budget) {
        List<RunFigure> matching =
                figures.stream().filter(figure -> figure.name().equals(name)).toList();
        if (matching.size() > 2
                && matching.stream().mapToInt(RunFigure::controllers).distinct().count() > 1) {
            SlopeFit line =
                    SlopeFit.of(
                            matching.stream().mapToDouble(RunFigure::controllers).toArray(),
                            matching.stream().mapToDouble(RunFigure::value).toArray());
            projections.add(new Projection(name, TARGET_CONTROLLERS, line, budget));
        }
    }
}
