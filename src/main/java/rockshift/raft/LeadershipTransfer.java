package rockshift.raft;

/** The leadership transfer in progress: its target and its deadline. */
final class LeadershipTransfer {
    private static final long NOBODY = 0;

    private long transferTarget = NOBODY;
    private long deadlineTicks;
    private boolean startedInTerm;

    /** This member begins to lead in a new term. */
    void startTerm() {
        transferTarget = NOBODY;
        startedInTerm = false;
    }

    void start(long target, long untilTicks) {
        transferTarget = target;
        deadlineTicks = untilTicks;
        startedInTerm = true;
    }

    void cancel() {
        transferTarget = NOBODY;
    }

    boolean isActive() {
        return transferTarget != NOBODY;
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
     * Whether a transfer was ever tried in this term: the message that has its target campaign may
     * arrive at any time after.
     */
    boolean wasStartedInTerm() {
        return startedInTerm;
    }
}
