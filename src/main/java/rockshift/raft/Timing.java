package rockshift.raft;

/**
 * How long a member waits and how much it sends at once. Times are ticks of 100 us on monotonic
 * clocks.
 *
 * @param electionTimeoutTicks without a message from a leader until a follower campaigns, at least;
 *     at most half as long again
 * @param heartbeatIntervalTicks between two heartbeats of a leader that has nothing else to send
 * @param maxClockDriftRatio the most by which two members' clocks may run apart, as a share: leases
 *     are shorter by it
 * @param leaseReads whether reads may be answered under a lease
 * @param maxBatchEntries entries that one message carries at most
 */
public record Timing(
        long electionTimeoutTicks,
        long heartbeatIntervalTicks,
        double maxClockDriftRatio,
        boolean leaseReads,
        int maxBatchEntries) {}
