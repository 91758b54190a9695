package rockshift.raft;

import java.util.List;

/**
 * Tracks which state of a member is durable, being written, or still to be written. Owns the
 * current term and vote, which a member must not lose in a crash.
 *
 * <p>The host writes one batch at a time; the write number increases by one with each batch. A
 * message that depends on durable state (a vote, an acknowledged entry) is sent only once that
 * state is durable. Otherwise a member could vote twice in a term after a crash, or a leader could
 * count a replica of an entry that was lost.
 */
final class DurabilityTracker {
    private static final long NO_ENTRY = Long.MAX_VALUE;

    private final SafetyRules rules;
    private TermAndVote termAndVote;
    private TermAndVote writingTermAndVote;
    private TermAndVote durableTermAndVote;

    /** The index up to which all entries are durable. */
    private long durableIndex;

    /**
     * The index up to which all entries will be durable once the write in progress is completed.
     */
    private long writingUpToIndex;

    /** Whether a term or vote, entries or a snapshot have yet to be handed to the host. */
    private boolean hasUnwritten;

    private long firstUnwrittenIndex = NO_ENTRY;
    private Snapshot unwrittenSnapshot;

    /**
     * A snapshot that was written, or is being written, and has not been passed to the state
     * machine.
     */
    private Snapshot snapshotToRestore;

    private long lastWriteNumber;

    /** The number of the write in progress, 0 if there is none. */
    private long writeNumberInProgress;

    private long durableWriteNumber;
    private boolean diskWorks = true;

    DurabilityTracker(SafetyRules rules, TermAndVote recovered, long durableIndex) {
        this.rules = rules;
        termAndVote = recovered;
        writingTermAndVote = recovered;
        durableTermAndVote = recovered;
        this.durableIndex = durableIndex;
    }

    TermAndVote termAndVote() {
        return termAndVote;
    }

    long term() {
        return termAndVote.term();
    }

    void setTermAndVote(TermAndVote next) {
        hasUnwritten |= !termAndVote.equals(next);
        termAndVote = next;
    }

    long durableIndex() {
        return durableIndex;
    }

    long durableWriteNumber() {
        return durableWriteNumber;
    }

    boolean diskWorks() {
        return diskWorks;
    }

    void setDiskWorks(boolean works) {
        diskWorks = works;
    }

    void entriesAppended(long firstIndex) {
        hasUnwritten = true;
        firstUnwrittenIndex = Math.min(firstUnwrittenIndex, firstIndex);
    }

    void entriesTruncated(long firstIndex) {
        durableIndex = Math.min(durableIndex, firstIndex - 1);
        writingUpToIndex = Math.min(writingUpToIndex, firstIndex - 1);
        firstUnwrittenIndex = Math.min(firstUnwrittenIndex, firstIndex);
        hasUnwritten = true;
    }

    void snapshotInstalled(Snapshot snapshot) {
        durableIndex = 0;
        writingUpToIndex = 0;
        firstUnwrittenIndex = NO_ENTRY;
        unwrittenSnapshot = snapshot;
        hasUnwritten = true;
    }

    /**
     * Returns the number of the write that a message depending on the current state must wait for:
     * the next write if some state is unwritten, otherwise the write in progress; 0 if all state is
     * durable.
     */
    long requiredWriteNumber() {
        if (!rules.persistsBeforeSending()) {
            return 0;
        }
        return hasUnwritten ? lastWriteNumber + 1 : writeNumberInProgress;
    }

    /**
     * Returns the same for a message that depends only on the term and vote, and so need not wait
     * for a write of entries.
     */
    long requiredWriteNumberForTerm() {
        if (!rules.persistsBeforeSending() || termAndVote.equals(durableTermAndVote)) {
            return 0;
        }
        return requiredWriteNumber();
    }

    boolean canStartWrite() {
        return hasUnwritten && writeNumberInProgress == 0;
    }

    /** Starts a write of all unwritten state and hands it to the host. */
    void startWrite(Log log, RaftOutput output) {
        lastWriteNumber++;
        writeNumberInProgress = lastWriteNumber;
        writingUpToIndex = log.lastIndex();
        writingTermAndVote = termAndVote;
        hasUnwritten = false;
        Snapshot snapshot = unwrittenSnapshot;
        unwrittenSnapshot = null;
        if (snapshot != null) {
            snapshotToRestore = snapshot;
        }
        long firstIndex = firstUnwrittenIndex;
        firstUnwrittenIndex = NO_ENTRY;
        List<Entry> entries =
                firstIndex > log.lastIndex()
                        ? List.of()
                        : log.entriesFrom(firstIndex, Integer.MAX_VALUE, Long.MAX_VALUE);
        output.persist(
                writeNumberInProgress,
                termAndVote,
                firstIndex == NO_ENTRY ? 0 : firstIndex,
                entries,
                snapshot);
    }

    /**
     * Records that the host has made a write durable.
     *
     * @param lastIndex the last index of the log; entries truncated since the write began do not
     *     become durable
     * @return false if the number is not that of the write in progress
     */
    boolean writeCompleted(long writeNumber, long lastIndex) {
        if (writeNumber != writeNumberInProgress) {
            return false;
        }
        writeNumberInProgress = 0;
        durableWriteNumber = writeNumber;
        durableIndex = Math.max(durableIndex, Math.min(writingUpToIndex, lastIndex));
        return true;
    }

    /** Records the term and vote of the last write as durable if no write is in progress. */
    void updateDurableTermAndVote() {
        if (durableWriteNumber >= lastWriteNumber) {
            durableTermAndVote = writingTermAndVote;
        }
    }

    /** Returns whether an installed snapshot is durable and can be passed to the state machine. */
    boolean canRestoreSnapshot() {
        return snapshotToRestore != null && writeNumberInProgress == 0 && !hasUnwritten;
    }

    Snapshot takeSnapshotToRestore() {
        Snapshot snapshot = snapshotToRestore;
        snapshotToRestore = null;
        return snapshot;
    }

    /** Returns whether an installed snapshot has not been passed to the state machine yet. */
    boolean hasSnapshotToRestore() {
        return snapshotToRestore != null || unwrittenSnapshot != null;
    }

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return durableIndex + "," + writeNumberInProgress + hasUnwritten;
    }
}
