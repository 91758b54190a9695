package rockshift.raft;

import java.util.List;

/** What a host carries out for one {@link RaftNode}, in the order of the calls. */
public interface RaftOutput {
    /**
     * Makes durable what changed, and reports the number of the write to {@link
     * RaftNode#writeCompleted} once it is. One write is in progress at a time.
     *
     * @param firstIndex the index of the first entry: whatever the log had from there on is void; 0
     *     if no entry changed
     * @param snapshot replaces all entries before the others are written; null if there is none
     */
    void persist(
            long writeNumber,
            TermAndVote termAndVote,
            long firstIndex,
            List<Entry> entries,
            Snapshot snapshot);

    /** Sends a message; it may be lost, delayed or doubled. */
    void send(Message message);

    /** Applies a committed entry; each is applied once in a process, in the order of the log. */
    void apply(Entry entry);

    /** Replaces the applied state by a snapshot's. */
    void restore(Snapshot snapshot);

    /** The state as applied now answers the read of that token. */
    void readReady(long token);

    /** The read of that token can't be answered here: ask the leader. */
    void readRejected(long token);

    /** Writes a line to the log for operators. */
    void log(String line);
}
