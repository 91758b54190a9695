package rockshift.raft;

import java.util.List;

/**
 * What of a member's state is durable, what is being written, and what is still to be written. It
 * owns the current term and vote, as these are promises that a crash must not break.
 *
 * <p>The host writes one batch at a time, each under a write number that rises by one. A message
 * that promises something (a vote, an acknowledged entry) is sent only once the write that it rests
 * on is durable; without that, a member that crashes could vote twice in a term, or a leader could
 * count a copy that is gone.
 */
final class DurabilityTracker {
    private static final long NO_ENTRY = Long.MAX_VALUE;

    private final SafetyRules rules;
    private TermAndVote termAndVote;
    private TermAndVote writingTermAndVote;
    private TermAndVote durableTermAndVote;

    /** All entries up to here are durable. */
    private long durableIndex;

    /** All entries up to here will be durable once the write in progress is. */
    private long writingUpToIndex;

    /** Whether a term or vote, entries or a snapshot are yet to be handed to the host. */
    private boolean hasUnwritten;

    private long firstUnwrittenIndex = NO_ENTRY;
    private Snapshot unwrittenSnapshot;

    /**
     * A snapshot that was written, or is being written, and not yet handed to the state machine.
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
     * The number of the write that a promise made now must wait for: that of the next write if
     * something is unwritten, else that of the write in progress; 0 if all is durable.
     */
    long writeNumberOfPromise() {
        if (!rules.persistsBeforeSending()) {
            return 0;
        }
        return hasUnwritten ? lastWriteNumber + 1 : writeNumberInProgress;
    }

    /**
     * The same for a promise that rests on the term and vote alone, which a write of entries need
     * not delay.
     */
    long writeNumberOfTermPromise() {
        if (!rules.persistsBeforeSending() || termAndVote.equals(durableTermAndVote)) {
            return 0;
        }
        return writeNumberOfPromise();
    }

    boolean canStartWrite() {
        return hasUnwritten && writeNumberInProgress == 0;
    }

    /** Starts a write of all that is unwritten and hands it to the host. */
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
     * The host has made a write durable.
     *
     * @param lastIndex the end of the log: entries truncated since the write began don't count
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

    /** Takes the term and vote of the last write as durable, if no write is in progress. */
    void settleTermAndVote() {
        if (durableWriteNumber >= lastWriteNumber) {
            durableTermAndVote = writingTermAndVote;
        }
    }

    /** Whether an installed snapshot is durable and the state machine can be given it. */
    boolean canRestoreSnapshot() {
        return snapshotToRestore != null && writeNumberInProgress == 0 && !hasUnwritten;
    }

    Snapshot takeSnapshotToRestore() {
        Snapshot snapshot = snapshotToRestore;
        snapshotToRestore = null;
        return snapshot;
    }

    /** Whether an installed snapshot has not yet reached the state machine. */
    boolean hasSnapshotToRestore() {
        return snapshotToRestore != null || unwrittenSnapshot != null;
    }

    /** The state that the next step depends on, for {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return durableIndex + "," + writeNumberInProgress + hasUnwritten;
    }
}
