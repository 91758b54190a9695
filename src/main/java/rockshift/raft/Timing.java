package rockshift.raft;

/**
 * How long a member waits and how much it says at once; times in tenths of a ms on clocks that run
 * evenly.
 *
 * @param electionTimeoutTicks without word from a leader until a follower campaigns, at least; at
 *     most half as long again
 * @param heartbeatIntervalTicks between two words of a leader with nothing to say
 * @param maxClockDriftRatio the most by which two members' clocks may run apart, as a share: leases
 *     are shorter by it
 * @param leaseReads whether reads may lean on a lease
 * @param maxBatchEntries entries that one message carries at most
 */
public record Timing(
        long electionTimeoutTicks,
        long heartbeatIntervalTicks,
        double maxClockDriftRatio,
        boolean leaseReads,
        int maxBatchEntries) {}
