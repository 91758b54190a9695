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
public final class Capacity {
    private static final double TARGET_GOVERNORS = 1_300;

    /** Replicas of the average governor's scope, and of the largest: a hundred times that. */
    private static final double AVERAGE_SCOPE = 36;

    private static final double LARGEST_SCOPE = 3_600;
    private static final double MANY_CLASSES = 12;
    private static final double MANY_PROXIES = 800;
    private static final int SMALL_SCOPES = 300;
    private static final double CORE_BUDGET = 0.037;
    private static final double MEMORY_BUDGET_MB = 64;
    private static final double BYTES_BUDGET = 10_000;
    private static final double IN_FORCE_BUDGET_MILLIS = ScaleVerdict.IN_FORCE_MILLIS;

    /**
     * One figure at the target.
     *
     * @param what role and unit
     * @param size the size at the target, in the unit of the line
     * @param line through what was measured
     * @param budget what it may be; NaN where nothing is told
     */
    public record Worked(String what, double size, SlopeFit line, double budget) {
        /** Whether a budget is told. */
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

    /** One figure of one run of many governors. */
    private record RunFigure(int governors, String name, double value) {}

    /** Reads a folder of tables; one that is missing counts as empty. */
    public Capacity(Path folder) throws IOException {
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
    public List<Worked> worked() {
        List<Worked> all = new ArrayList<>();
        Predicate<FleetShape> usual = shape -> shape.proxies() == 16;
        Predicate<FleetShape> two = usual.and(shape -> shape.classes() == 2);
        Set<ControllerSweep.Figure> budgeted =
                EnumSet.of(
                        ControllerSweep.Figure.CORE_SHARE,
                        ControllerSweep.Figure.PEAK,
                        ControllerSweep.Figure.BYTES_OUT);
        governor(
                all,
                "average governor",
                ControllerSweep.Size.REPLICAS,
                AVERAGE_SCOPE,
                two.and(shape -> shape.replicas() <= SMALL_SCOPES),
                EnumSet.allOf(ControllerSweep.Figure.class));
        governor(
                all,
                "average, 12 classes",
                ControllerSweep.Size.CLASSES,
                MANY_CLASSES,
                usual.and(shape -> shape.replicas() == AVERAGE_SCOPE),
                budgeted);
        governor(
                all,
                "largest governor",
                ControllerSweep.Size.REPLICAS,
                LARGEST_SCOPE,
                two.and(shape -> shape.replicas() >= SMALL_SCOPES),
                EnumSet.allOf(ControllerSweep.Figure.class));
        governor(
                all,
                "largest, 12 classes",
                ControllerSweep.Size.REPLICAS_TIMES_CLASSES,
                LARGEST_SCOPE * MANY_CLASSES,
                usual.and(shape -> shape.replicas() >= SMALL_SCOPES),
                budgeted);
        governor(
                all,
                "60 replicas, 800 proxies",
                ControllerSweep.Size.PROXIES,
                MANY_PROXIES,
                shape -> shape.replicas() == 60 && shape.classes() == 2,
                budgeted);
        run(all, "in force everywhere, longest ms", IN_FORCE_BUDGET_MILLIS);
        run(all, "governor, bytes a second", BYTES_BUDGET);
        for (String role : List.of("leader", "follower", "relay", "real governor")) {
            run(
                    all,
                    role + ", share of a core",
                    role.equals("real governor") ? CORE_BUDGET : Double.NaN);
            run(all, role + ", bytes a second read", Double.NaN);
            run(all, role + ", bytes a second written", Double.NaN);
            run(
                    all,
                    role + ", most MB resident",
                    role.equals("real governor") ? MEMORY_BUDGET_MB : Double.NaN);
        }
        run(all, "busiest member, share of a core", Double.NaN);
        run(all, "all governors at once until in force, ms", Double.NaN);
        run(all, "all governors again at once until in force, ms", Double.NaN);
        run(all, "one governor started until in force, median ms", Double.NaN);
        run(all, "one governor started until in force, longest ms", Double.NaN);
        return all;
    }

    private void governor(
            List<Worked> all,
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
                                all.add(
                                        new Worked(
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

    private void run(List<Worked> all, String name, double budget) {
        List<RunFigure> found =
                figures.stream().filter(figure -> figure.name().equals(name)).toList();
        if (found.size() > 2
                && found.stream().mapToInt(RunFigure::governors).distinct().count() > 1) {
            SlopeFit line =
                    SlopeFit.of(
                            found.stream().mapToDouble(RunFigure::governors).toArray(),
                            found.stream().mapToDouble(RunFigure::value).toArray());
            all.add(new Worked(name, TARGET_GOVERNORS, line, budget));
        }
    }
}
