package rockshift.planner;

/** How pressing a {@link TableChange} is: in which rounds it is sent, and from which budget. */
enum ChangeUrgency {
    /** Safety requires it, also while the controller is cut off from others. */
    REQUIRED(true, true),
    IMMEDIATE(true, true),
    PRIORITIZED(true, false),
    /** It is sent in any round, as it takes no message of its own. */
    PIGGYBACKED(false, true),
    BATCHED(false, false);

    private final boolean priority;
    private final boolean inEveryRound;

    ChangeUrgency(boolean urgent, boolean inEveryRound) {
        this.priority = urgent;
        this.inEveryRound = inEveryRound;
    }

    /** Whether it is sent from the urgent budget; the others are deferrable. */
    boolean usesPriorityBudget() {
        return priority;
    }

    /** Whether it is sent in urgent rounds as well as in regular ones. */
    boolean isInEveryRound() {
        return inEveryRound;
    }
}
