package rockshift.raft;

import java.util.List;

/**
 * The actions that a {@link RaftNode} requires of its host, which carries them out in the order of
 * the calls.
 */
public interface RaftOutput {
    /**
     * Makes changed state durable. The host then reports {@code writeNumber} to {@link
     * RaftNode#writeCompleted}. Only one write is in progress at a time.
     *
     * @param firstIndex the index of the first entry; stored entries from this index on are
     *     discarded; 0 if no entry changed
     * @param snapshot replaces all stored entries before {@code entries} are written; null if there
     *     is none
     */
    void persist(
            long writeNumber,
            TermAndVote termAndVote,
            long firstIndex,
            List<Entry> entries,
            Snapshot snapshot);

    /** Sends a message, which may be lost, delayed or duplicated. */
    void send(Message message);

    /** Applies a committed entry. Each entry is applied once per process, in log order. */
    void apply(Entry entry);

    /** Replaces the applied state with that of a snapshot. */
    void restore(Snapshot snapshot);

    /** Called when the read with this token can be answered from the state applied so far. */
    void readReady(long token);

    /**
     * Called when the read with this token cannot be answered here; the client must ask the leader.
     */
    void readRejected(long token);

    /** Logs a protocol event for operators. */
    void log(String line);
}
