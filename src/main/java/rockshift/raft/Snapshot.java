package rockshift.raft;

/**
 * The state that the entries up to an index have led to, in place of these entries.
 *
 * @param index the last entry that it includes
 * @param term the term of that entry
 * @param membership the membership in force at that entry
 * @param data the state machine's image
 */
public record Snapshot(long index, long term, Membership membership, byte[] data) {}
