package rockshift.planner;

/**
 * Capacity and load of the replicas that this controller's proxies can reach.
 *
 * @param responsesPerTick responses to this controller's proxies if the replicas were busy all the
 *     time
 * @param load fraction of time that the replicas are busy, weighted by capacity
 */
record FleetCapacity(double responsesPerTick, double load) {}
