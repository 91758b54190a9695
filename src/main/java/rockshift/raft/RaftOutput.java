package rockshift.raft;

import java.util.List;

/** What a host carries out for one {@link RaftNode}, in the order of the calls. */
public interface RaftOutput {
    /**
     * Makes durable what changed, and tells {@link RaftNode#saved} the ticket once it is. One is
     * under way at a time.
     *
     * @param from the first index that the entries stand at: whatever stood from there on is void;
     *     0 if none changed
     * @param snapshot replaces all entries, before the others are written; null if there is none
     */
    void persist(
            long ticket,
            TermAndVote termAndVote,
            long from,
            List<Entry> entries,
            Snapshot snapshot);

    void send(Message message);

    /** Applies a committed entry; each is named once in a process, in the order of the log. */
    void apply(Entry entry);

    /** Takes a snapshot's state in place of what was applied. */
    void restore(Snapshot snapshot);

    /** What is applied by now answers the read of that token. */
    void readReady(long token);

    /** The read of that token can't be answered here: ask the leader. */
    void readRejected(long token);

    void log(String line);
}
