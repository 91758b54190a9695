package rockshift.raft;

/**
 * Timeouts and batch size of a member. Times are in ticks of 100 us of a monotonic clock.
 *
 * @param electionTimeoutTicks minimum time without a message from a leader before a follower
 *     campaigns; the actual time is random, up to 1.5 times as long
 * @param heartbeatIntervalTicks interval between heartbeats of a leader that has nothing else to
 *     send
 * @param maxClockDriftRatio maximum drift between the clocks of two members, as a fraction; leases
 *     are shortened by it
 * @param leaseReads whether reads may be answered under a leader lease
 * @param maxBatchEntries maximum number of entries in one message
 */
public record Timing(
        long electionTimeoutTicks,
        long heartbeatIntervalTicks,
        double maxClockDriftRatio,
        boolean leaseReads,
        int maxBatchEntries) {}
