package rockshift.planner;

import java.util.ArrayDeque;

/**
 * Queue of log lines about decisions, in the order of the decisions, until the host takes them.
 * Each line is one event: its name, then {@code key=value} fields.
 */
final class DecisionLog {
    private final ArrayDeque<String> lines = new ArrayDeque<>();

    void add(String line) {
        lines.add(line);
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    /** Removes and returns the oldest line. */
    String remove() {
        return lines.remove();
    }
}
