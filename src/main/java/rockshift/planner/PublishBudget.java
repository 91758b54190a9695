package rockshift.planner;

/** The entries that one batch of changes may still send. What is sent counts for all parts. */
final class PublishBudget {
    private double priorityEntries;
    private double deferrableEntries;
    private double weightEntries;

    /**
     * A budget for one batch.
     *
     * @param priorityEntries while so many are left, urgent changes are sent
     * @param deferrableEntries while so many are left, deferrable changes are sent
     * @param weightEntries for deferrable changes of published weights
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
