package rockshift.raft;

/**
 * The index up to which the log is committed, and the index up to which the state machine has
 * applied it.
 */
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
     * Records that all entries up to an index are known to be committed. A lower index than before
     * has no effect.
     */
    void advanceTo(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /**
     * Records that a snapshot up to an index has replaced the log. The state machine has yet to
     * restore it.
     */
    void snapshotInstalled(long index) {
        commitIndex = index;
    }

    void snapshotRestored(long index) {
        appliedIndex = index;
    }

    /**
     * Returns whether there is an entry that is committed and durable here, and not yet applied.
     */
    boolean canApply(long durableIndex) {
        return appliedIndex < Math.min(commitIndex, durableIndex);
    }

    /** Advances to the next entry to apply and returns its index. */
    long applyNext() {
        appliedIndex++;
        return appliedIndex;
    }
}
