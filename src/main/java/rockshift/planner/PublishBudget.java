package rockshift.planner;

/**
 * Entries that one batch of changes may still send. Each change reduces the priority and the
 * deferrable budget alike, as both describe the same channel.
 */
final class PublishBudget {
    private double priorityEntries;
    private double deferrableEntries;
    private double weightEntries;

    /**
     * Creates the budget of one batch.
     *
     * @param priorityEntries entries for changes that use the priority budget, see {@link
     *     ChangeUrgency#usesPriorityBudget}
     * @param deferrableEntries entries for deferrable changes
     * @param weightEntries entries for deferrable changes of published weights
     */
    PublishBudget(double priorityEntries, double deferrableEntries, double weightEntries) {
        this.priorityEntries = priorityEntries;
        this.deferrableEntries = deferrableEntries;
        this.weightEntries = weightEntries;
    }

    boolean covers(double cost, TableChange change, ChangeUrgency urgency) {
        if (urgency.usesPriorityBudget()) {
            return cost <= priorityEntries;
        }
        return cost <= deferrableEntries && (!change.changesWeight() || cost <= weightEntries);
    }

    void spend(double cost, TableChange change, ChangeUrgency urgency) {
        priorityEntries -= cost;
        deferrableEntries -= cost;
        if (change.changesWeight() && !urgency.usesPriorityBudget()) {
            weightEntries -= cost;
        }
    }
}
