package rockshift.raft;

/** Up to where the log is committed, and up to where the state machine has applied it. */
final class CommitTracker {
    private long commitIndex;
    private long appliedIndex;

    CommitTracker(long index) {
        commitIndex = index;
        appliedIndex = index;
    }

    long commitIndex() {
        return commitIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    /**
     * All entries up to an index are known to be committed; a lower one than before says nothing.
     */
    void advanceTo(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /** A snapshot up to an index has replaced the log; the state machine has yet to restore it. */
    void snapshotInstalled(long index) {
        commitIndex = index;
    }

    void snapshotRestored(long index) {
        appliedIndex = index;
    }

    /** Whether an entry is committed and durable here, and not yet applied. */
    boolean canApply(long durableIndex) {
        return appliedIndex < Math.min(commitIndex, durableIndex);
    }

    /** Moves on to the next entry to apply, and answers its index. */
    long applyNext() {
        appliedIndex++;
        return appliedIndex;
    }
}
