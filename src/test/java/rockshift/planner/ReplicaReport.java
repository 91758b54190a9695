package rockshift.planner;

import java.util.stream.IntStream;

/**
 * Report of proxies about their attempts at a replica.
 *
 * @param utilization load reported by the replica, 0 to 1, or null if it reported none
 */
record ReplicaReport(
        long replica, int attempts, int failures, Double utilization, long meanLatencyTicks) {
    /** Mean latency of reports without another one. */
    static final long DEFAULT_LATENCY_TICKS = 2_000;

    /** A report without failures. */
    static ReplicaReport healthy(long replica, int attempts, double utilization) {
        return failing(replica, attempts, 0, utilization);
    }

    /** The same report without failures for each of replicas 1 to a count. */
    static ReplicaReport[] allHealthy(int replicas, int attempts, double utilization) {
        return IntStream.rangeClosed(1, replicas)
                .mapToObj(replica -> healthy(replica, attempts, utilization))
                .toArray(ReplicaReport[]::new);
    }

    /** A report with some failed attempts. */
    static ReplicaReport failing(long replica, int attempts, int failures, double utilization) {
        return new ReplicaReport(replica, attempts, failures, utilization, DEFAULT_LATENCY_TICKS);
    }

    /** The same report with failures for each of replicas 1 to a count. */
    static ReplicaReport[] allFailing(
            int replicas, int attempts, int failures, double utilization) {
        return IntStream.rangeClosed(1, replicas)
                .mapToObj(replica -> failing(replica, attempts, failures, utilization))
                .toArray(ReplicaReport[]::new);
    }

    /** A report about a replica that reports no load. */
    static ReplicaReport withoutUtilization(long replica, int attempts, int failures) {
        return new ReplicaReport(replica, attempts, failures, null, DEFAULT_LATENCY_TICKS);
    }

    /** This report with another mean latency. */
    ReplicaReport withLatencyTicks(long value) {
        return new ReplicaReport(replica, attempts, failures, utilization, value);
    }
}
