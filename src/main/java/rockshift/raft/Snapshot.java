package rockshift.raft;

/** What the entries up to an index have come to, in place of these entries. */
public record Snapshot(long index, long term, Membership membership, byte[] data) {}
