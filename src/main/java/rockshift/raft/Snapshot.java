package rockshift.raft;

/**
 * The state after applying all log entries up to an index. It replaces these entries.
 *
 * @param index the index of the last entry that it includes
 * @param term the term of that entry
 * @param membership the membership in force at that entry
 * @param data the encoded client sessions and state machine
 */
public record Snapshot(long index, long term, Membership membership, byte[] data) {}
