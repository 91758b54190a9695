package rockshift.planner;

/** The entries that one batch of changes may still send. What is sent counts for all parts. */
final class PublishBudget {
    private double urgentEntries;
    private double deferrableEntries;
    private double weightEntries;

    /**
     * A budget for one batch.
     *
     * @param urgentEntries while so many are left, urgent changes are sent
     * @param deferrableEntries while so many are left, deferrable changes are sent
     * @param weightEntries for deferrable changes of published weights
     */
    PublishBudget(double urgentEntries, double deferrableEntries, double weightEntries) {
        this.urgentEntries = urgentEntries;
        this.deferrableEntries = deferrableEntries;
        this.weightEntries = weightEntries;
    }

    boolean covers(double cost, TableChange change, ChangeUrgency urgency) {
        if (urgency.isUrgent()) {
            return cost <= urgentEntries;
        }
        return cost <= deferrableEntries && (!change.changesWeight() || cost <= weightEntries);
    }

    void spend(double cost, TableChange change, ChangeUrgency urgency) {
        urgentEntries -= cost;
        deferrableEntries -= cost;
        if (change.changesWeight() && !urgency.isUrgent()) {
            weightEntries -= cost;
        }
    }
}
