package rockshift.planner;

import java.util.Comparator;

/**
 * Task that is due at a time. Tasks that are due at the same time are ordered by kind, then by
 * replica and scope.
 *
 * @param replicaId the replica whose ejection ends; 0 for a planning round
 * @param scope the scope of the ejection that ends; unused for a planning round
 */
record ScheduledTask(long dueAtTicks, Kind kind, long replicaId, EjectionScope scope)
        implements Comparable<ScheduledTask> {
    private static final Comparator<ScheduledTask> ORDER =
            Comparator.comparingLong(ScheduledTask::dueAtTicks)
                    .thenComparing(ScheduledTask::kind)
                    .thenComparing(ScheduledTask::replicaId)
                    .thenComparing(ScheduledTask::scope);

    enum Kind {
        END_OF_EJECTION,
        REGULAR_ROUND
    }

    static ScheduledTask regularRound(long dueAtTicks) {
        return new ScheduledTask(dueAtTicks, Kind.REGULAR_ROUND, 0, EjectionScope.ALL_PROXIES);
    }

    static ScheduledTask endOfEjection(long dueAtTicks, long replicaId, EjectionScope scope) {
        return new ScheduledTask(dueAtTicks, Kind.END_OF_EJECTION, replicaId, scope);
    }

    @Override
    public int compareTo(ScheduledTask other) {
        return ORDER.compare(this, other);
    }
}
