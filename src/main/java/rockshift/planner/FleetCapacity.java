package rockshift.planner;

/**
 * What the replicas can do that this controller's proxies reach.
 *
 * @param answersPerTick for this controller's proxies, if the replicas were busy all the time
 * @param load fraction of their time that they are busy, weighted by capacity
 */
record FleetCapacity(double answersPerTick, double load) {}
