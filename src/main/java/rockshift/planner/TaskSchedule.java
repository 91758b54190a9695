package rockshift.planner;

import java.util.TreeSet;

/** Scheduled tasks, in the order in which they are due. */
final class TaskSchedule {
    private final TreeSet<ScheduledTask> tasks = new TreeSet<>();

    void add(ScheduledTask task) {
        tasks.add(task);
    }

    /**
     * Returns whether the first task is of a kind and due.
     *
     * @throws java.util.NoSuchElementException if no task is scheduled
     */
    boolean isNextDue(ScheduledTask.Kind kind, long now) {
        ScheduledTask first = tasks.first();
        return first.kind() == kind && first.dueAtTicks() <= now;
    }

    /** Removes and returns the first task. */
    ScheduledTask takeNext() {
        return tasks.pollFirst();
    }

    /**
     * Removes a regular round that is due, even if other tasks are before it.
     *
     * @return whether there was one
     */
    boolean takeDueRegularRound(long now) {
        return tasks.removeIf(
                task ->
                        task.kind() == ScheduledTask.Kind.REGULAR_ROUND
                                && task.dueAtTicks() <= now);
    }
}
