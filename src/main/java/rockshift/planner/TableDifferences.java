package rockshift.planner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the differences between published tables and their targets that are large enough to send.
 */
final class TableDifferences {
    /** Relative change of a weight below which it is not sent. */
    private static final double MIN_WEIGHT_CHANGE_RATIO = 0.1;

    /** Change of a level below which it is not sent. */
    private static final double MIN_LEVEL_CHANGE = 0.02;

    /** Levels are sent in hundredths. */
    private static final double LEVEL_STEPS = 100;

    private static final double REMOVAL_PRIORITY = TableChange.LEVEL_PRIORITY + 1;

    private final AdmissionController admission;

    TableDifferences(AdmissionController admission) {
        this.admission = admission;
    }

    /**
     * Returns the changes from the published tables to the present targets, which must be up to
     * date, and levels. Removals come first, then new entries and levels, then changed weights by
     * their size.
     */
    List<TableChange> find(List<RoutingTable> tables) {
        List<TableChange> changes = new ArrayList<>();
        for (RoutingTable table : tables) {
            addLevelChange(changes, table);
            table.routes().forEach(route -> addEntryChange(changes, route));
        }
        changes.sort(Comparator.comparingDouble(TableChange::priority).reversed());
        return changes;
    }

    private void addLevelChange(List<TableChange> changes, RoutingTable table) {
        double level = Math.round(admission.level(table.classNumber()) * LEVEL_STEPS) / LEVEL_STEPS;
        double published = table.publishedLevel();
        if (Math.abs(level - published) > MIN_LEVEL_CHANGE || level == 1 && published < 1) {
            changes.add(new TableChange.Level(table, level));
        }
    }

    private static void addEntryChange(List<TableChange> changes, Route route) {
        double scale = route.table().weightScale();
        double published = route.publishedWeight();
        double weight = route.isAllowed() ? (float) (route.targetFraction() * scale) : 0;
        double changedFraction = Math.abs(weight - published) / scale;
        if (weight == 0) {
            if (published > 0) {
                changes.add(new TableChange.Entry(route, weight, REMOVAL_PRIORITY));
            }
        } else if (changedFraction * scale > MIN_WEIGHT_CHANGE_RATIO * published) {
            double priority =
                    published == 0 ? TableChange.LEVEL_PRIORITY + changedFraction : changedFraction;
            changes.add(new TableChange.Entry(route, weight, priority));
        }
    }
}
