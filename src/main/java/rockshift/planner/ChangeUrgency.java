package rockshift.planner;

/**
 * Urgency of a {@link TableChange}: the budget that it uses, and the rounds in which it is sent.
 *
 * <p>The budgets are priority and deferrable, see {@link PublishBudget}. Planning rounds are
 * regular, once a second, or interim: the planner requests an interim round as soon as something
 * changes that may not wait.
 */
enum ChangeUrgency {
    /**
     * Required for safety: priority budget, all rounds. The only urgency that is also sent under
     * {@link rockshift.model.ControlScope#REMOVALS_ONLY}.
     */
    REQUIRED(true, true),
    /**
     * Prevents an overload, as a slow-starting replica's weight more than halves or an entry more
     * than doubles in a message that is sent anyway. Priority budget, all rounds.
     */
    IMMEDIATE(true, true),
    /**
     * Lowers the weight of a slow-starting replica by at most half: priority budget, regular rounds
     * only.
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

    /** Whether it uses the priority budget rather than the deferrable one. */
    boolean usesPriorityBudget() {
        return priorityBudget;
    }

    /** Whether it is sent in interim rounds as well as in regular ones. */
    boolean isInEveryRound() {
        return inEveryRound;
    }
}
