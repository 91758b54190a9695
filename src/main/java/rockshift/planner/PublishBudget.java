package rockshift.planner;

/**
 * The entries that one batch of changes may still send. What is sent reduces the priority and the
 * deferrable part alike, as both describe the same channel.
 */
final class PublishBudget {
    private double priorityEntries;
    private double deferrableEntries;
    private double weightEntries;

    /**
     * A budget for one batch.
     *
     * @param priorityEntries that {@link ChangeUrgency#usesPriorityBudget} changes may take
     * @param deferrableEntries that deferrable changes may take
     * @param weightEntries that deferrable changes of published weights may take
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
