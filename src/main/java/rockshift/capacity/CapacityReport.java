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
 * What was measured, worked out at the target by lines through it, beside the budgets. It reads the
 * tables that the other commands keep; void runs are left out.
 */
public final class CapacityReport {
    private static final double TARGET_CONTROLLERS = 1_300;

    /** Replicas of the average controller's scope, and of the largest: a hundred times that. */
    private static final double AVERAGE_SCOPE = 36;

    private static final double LARGEST_SCOPE = 3_600;
    private static final double MANY_CLASSES = 12;
    private static final double MANY_PROXIES = 800;
    private static final int SMALL_SCOPES = 300;
    private static final double CORE_BUDGET = 0.037;
    private static final double MEMORY_BUDGET_MB = 64;
    private static final double BYTES_BUDGET = 10_000;
    private static final double IN_FORCE_BUDGET_MILLIS = ScaleVerdict.MAX_IN_FORCE_MILLIS;

    /**
     * One figure at the target.
     *
     * @param what role and unit
     * @param size the size at the target, in the unit of the line
     * @param line through what was measured
     * @param budget what it may be; NaN where there is no budget
     */
    public record Projection(String what, double size, SlopeFit line, double budget) {
        /** Whether there is a budget. */
        public boolean budgeted() {
            return !Double.isNaN(budget);
        }

        /** Times the budget. */
        public double factor() {
            return line.at(size).value() / budget;
        }

        /** A row of a Markdown table. */
        public String row() {
            SlopeFit.Estimate at = line.at(size);
            return String.format(
                    Locale.ROOT,
                    "| %s | %s (%s to %s)%s | %s | %s + %s each (%s to %s), "
                            + "%d runs from %.0f to %.0f, r2 %.2f |",
                    what,
                    number(at.value()),
                    number(at.low()),
                    number(at.high()),
                    at.marked()
                            ? " **far: " + number(at.reach()) + " times what was measured**"
                            : "",
                    budgeted() ? verdict() : "",
                    number(line.intercept()),
                    number(line.slope()),
                    number(line.slopeLow()),
                    number(line.slopeHigh()),
                    line.points(),
                    line.least(),
                    line.most(),
                    line.determination());
        }

        private String verdict() {
            return (factor() <= 1 ? "holds" : "**does not hold**")
                    + ": "
                    + number(factor())
                    + " of "
                    + number(budget);
        }

        private static String number(double value) {
            return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%,.0f" : "%.3g", value);
        }
    }

    private final List<ControllerSample> samples = new ArrayList<>();
    private final List<RunFigure> figures = new ArrayList<>();

    /** One figure of one run of many controllers. */
    private record RunFigure(int controllers, String name, double value) {}

    /** Reads a folder of tables; one that is missing counts as empty. */
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

    /** All that can be worked out from the tables; what has too few runs is left out. */
    public List<Projection> projections() {
        List<Projection> projections = new ArrayList<>();
        addSweeps(projections);
        addRunFigures(projections);
        return projections;
    }

    private void addSweeps(List<Projection> projections) {
        Predicate<FleetShape> usual = shape -> shape.proxies() == 16;
        Predicate<FleetShape> two = usual.and(shape -> shape.classes() == 2);
        Set<ControllerSweep.Figure> budgeted =
                EnumSet.of(
                        ControllerSweep.Figure.CORE_SHARE,
                        ControllerSweep.Figure.PEAK,
                        ControllerSweep.Figure.BYTES_OUT);
        addSweep(
                projections,
                "average governor",
                ControllerSweep.Size.REPLICAS,
                AVERAGE_SCOPE,
                two.and(shape -> shape.replicas() <= SMALL_SCOPES),
                EnumSet.allOf(ControllerSweep.Figure.class));
        addSweep(
                projections,
                "average, 12 classes",
                ControllerSweep.Size.CLASSES,
                MANY_CLASSES,
                usual.and(shape -> shape.replicas() == AVERAGE_SCOPE),
                budgeted);
        addSweep(
                projections,
                "largest governor",
                ControllerSweep.Size.REPLICAS,
                LARGEST_SCOPE,
                two.and(shape -> shape.replicas() >= SMALL_SCOPES),
                EnumSet.allOf(ControllerSweep.Figure.class));
        addSweep(
                projections,
                "largest, 12 classes",
                ControllerSweep.Size.REPLICAS_TIMES_CLASSES,
                LARGEST_SCOPE * MANY_CLASSES,
                usual.and(shape -> shape.replicas() >= SMALL_SCOPES),
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
        addRunFigure(projections, "governor, bytes a second", BYTES_BUDGET);
        for (String role : List.of("leader", "follower", "relay", "real governor")) {
            addRunFigure(
                    projections,
                    role + ", share of a core",
                    role.equals("real governor") ? CORE_BUDGET : Double.NaN);
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
            double at,
            Predicate<FleetShape> shapes,
            Set<ControllerSweep.Figure> wanted) {
        ControllerSweep sweep = new ControllerSweep();
        samples.stream()
                .filter(sample -> shapes.test(sample.shape()))
                .forEach(sweep.samples()::add);
        sweep.fits(size)
                .forEach(
                        (figure, line) -> {
                            if (wanted.contains(figure)) {
                                projections.add(
                                        new Projection(
                                                role + ": " + figure.unit(),
                                                at,
                                                line,
                                                budget(figure)));
                            }
                        });
    }

    private static double budget(ControllerSweep.Figure figure) {
        return switch (figure) {
            case CORE_SHARE -> CORE_BUDGET;
            case PEAK -> MEMORY_BUDGET_MB;
            case BYTES_OUT -> BYTES_BUDGET;
            default -> Double.NaN;
        };
    }

    private void addRunFigure(List<Projection> projections, String name, double budget) {
        List<RunFigure> found =
                figures.stream().filter(figure -> figure.name().equals(name)).toList();
        if (found.size() > 2
                && found.stream().mapToInt(RunFigure::controllers).distinct().count() > 1) {
            SlopeFit line =
                    SlopeFit.of(
                            found.stream().mapToDouble(RunFigure::controllers).toArray(),
                            found.stream().mapToDouble(RunFigure::value).toArray());
            projections.add(new Projection(name, TARGET_CONTROLLERS, line, budget));
        }
    }
}
