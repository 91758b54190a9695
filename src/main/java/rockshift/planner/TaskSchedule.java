package rockshift.planner;

import java.util.TreeSet;

/** The tasks that are scheduled, in the order in which they fall due. */
final class TaskSchedule {
    private final TreeSet<ScheduledTask> tasks = new TreeSet<>();

    void add(ScheduledTask task) {
        tasks.add(task);
    }

    /** Whether the task that falls due first is of a kind, and due; throws if none is scheduled. */
    boolean isNextDue(ScheduledTask.Kind kind, long now) {
        ScheduledTask first = tasks.first();
        return first.kind() == kind && first.dueAtTicks() <= now;
    }

    /** Removes the task that falls due first. */
    ScheduledTask takeNext() {
        return tasks.pollFirst();
    }

    /**
     * Removes a regular round that is due, whichever tasks are before it; whether there was one.
     */
    boolean takeDueRegularRound(long now) {
        return tasks.removeIf(
                task ->
                        task.kind() == ScheduledTask.Kind.REGULAR_ROUND
                                && task.dueAtTicks() <= now);
    }
}
