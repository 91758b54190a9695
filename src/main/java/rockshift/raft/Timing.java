package rockshift.raft;

/**
 * How long a member waits and how much it says at once; times in tenths of a ms on clocks that run
 * evenly.
 *
 * @param election without word from a leader until a follower campaigns, at least; at most half as
 *     long again
 * @param heartbeat between two words of a leader with nothing to say
 * @param drift the most by which two members' clocks may run apart, as a share: leases are shorter
 *     by it
 * @param leases whether reads may lean on a lease
 * @param batch entries that one message carries at most
 */
public record Timing(long election, long heartbeat, double drift, boolean leases, int batch) {}
