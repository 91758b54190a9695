package rockshift.planner;

/**
 * Capacity and load of the replicas that this controller's proxies can reach.
 *
 * @param answersPerTick for this controller's proxies, if the replicas were busy all the time
 * @param load fraction of their time that they are busy, weighted by capacity
 */
record FleetCapacity(double answersPerTick, double load) {}
