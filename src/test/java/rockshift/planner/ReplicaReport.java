package rockshift.planner;

import java.util.stream.IntStream;

/**
 * What proxies saw of a replica.
 *
 * @param utilization its load report from 0 to 1, or null for none
 */
record ReplicaReport(
        long replica, int attempts, int failures, Double utilization, long meanLatencyTicks) {
    /** Mean latency of reports that do not say another. */
    static final long USUAL_LATENCY_TICKS = 2_000;

    /** A report without failures. */
    static ReplicaReport healthy(long replica, int attempts, double utilization) {
        return failing(replica, attempts, 0, utilization);
    }

    /** Reports without failures, alike for replicas 1 to a count. */
    static ReplicaReport[] allHealthy(int replicas, int attempts, double utilization) {
        return IntStream.rangeClosed(1, replicas)
                .mapToObj(replica -> healthy(replica, attempts, utilization))
                .toArray(ReplicaReport[]::new);
    }

    /** A report of a replica of which some attempts failed. */
    static ReplicaReport failing(long replica, int attempts, int failures, double utilization) {
        return new ReplicaReport(replica, attempts, failures, utilization, USUAL_LATENCY_TICKS);
    }

    /** Reports of replicas 1 to a count, of which each had the same failures. */
    static ReplicaReport[] allFailing(
            int replicas, int attempts, int failures, double utilization) {
        return IntStream.rangeClosed(1, replicas)
                .mapToObj(replica -> failing(replica, attempts, failures, utilization))
                .toArray(ReplicaReport[]::new);
    }

    /** A report of a replica that sends no load reports. */
    static ReplicaReport withoutUtilization(long replica, int attempts, int failures) {
        return new ReplicaReport(replica, attempts, failures, null, USUAL_LATENCY_TICKS);
    }

    /** This report with another mean latency. */
    ReplicaReport withLatencyTicks(long value) {
        return new ReplicaReport(replica, attempts, failures, utilization, value);
    }
}
