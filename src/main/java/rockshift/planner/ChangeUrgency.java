package rockshift.planner;

/**
 * How urgent a {@link TableChange} is: from which budget it is paid, and in which rounds it is
 * sent.
 *
 * <p>There are two budgets, priority and deferrable, see {@link PublishBudget}. There are two kinds
 * of planning round: regular ones, once a second, and interim ones, which the planner requests as
 * soon as something changes that may not wait.
 */
enum ChangeUrgency {
    /**
     * Safety requires it: priority budget, all rounds. The only one that is also sent while the
     * controller may make removals only.
     */
    REQUIRED(true, true),
    /**
     * It prevents an overload: a slow-starting replica's weight more than halves, or an entry more
     * than doubles in a message that is sent anyway. Priority budget, all rounds.
     */
    IMMEDIATE(true, true),
    /**
     * It lowers the weight of a slow-starting replica, by half at most: priority budget, regular
     * rounds only.
     */
    PRIORITIZED(true, false),
    /** A message is sent anyway, or no proxy is bound yet: deferrable budget, all rounds. */
    PIGGYBACKED(false, true),
    /** Any other change: deferrable budget, regular rounds only. */
    BATCHED(false, false);

    private final boolean priorityBudget;
    private final boolean inEveryRound;

    ChangeUrgency(boolean priorityBudget, boolean inEveryRound) {
        this.priorityBudget = priorityBudget;
        this.inEveryRound = inEveryRound;
    }

    /** Whether it is paid from the priority budget, and not from the deferrable one. */
    boolean usesPriorityBudget() {
        return priorityBudget;
    }

    /** Whether it is sent in interim rounds as well as in regular ones. */
    boolean isInEveryRound() {
        return inEveryRound;
    }
}
