package rockshift.planner;

import java.util.ArrayDeque;

/**
 * Log lines of decisions, in the order in which these were taken, until the host has them. Each
 * line is one event: its name, then {@code key=value} fields.
 */
final class DecisionLog {
    private final ArrayDeque<String> lines = new ArrayDeque<>();

    void add(String line) {
        lines.add(line);
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Takes the oldest line. */
    String remove() {
        return lines.remove();
    }
}
