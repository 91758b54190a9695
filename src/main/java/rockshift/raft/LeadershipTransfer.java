package rockshift.raft;

/** The leadership transfer in progress: its target and its deadline. */
final class LeadershipTransfer {
    private static final long NO_TARGET = 0;

    private long transferTarget = NO_TARGET;
    private long deadlineTicks;
    private boolean startedInTerm;

    /** Resets the state as this member begins a new term as leader. */
    void startTerm() {
        transferTarget = NO_TARGET;
        startedInTerm = false;
    }

    void start(long target, long untilTicks) {
        transferTarget = target;
        deadlineTicks = untilTicks;
        startedInTerm = true;
    }

    void cancel() {
        transferTarget = NO_TARGET;
    }

    boolean isActive() {
        return transferTarget != NO_TARGET;
    }

    boolean isTo(long member) {
        return transferTarget == member;
    }

    long target() {
        return transferTarget;
    }

    boolean hasExpired(long nowTicks) {
        return isActive() && nowTicks >= deadlineTicks;
    }

    /**
     * Returns whether a transfer was started in this term. The message that makes its target
     * campaign may arrive at any time after that.
     */
    boolean wasStartedInTerm() {
        return startedInTerm;
    }
}
