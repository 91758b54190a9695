/**
 * Deterministic simulation, fault injection trials, benchmarks and test servers. They ship with the
 * program so that operators can run them on their own machines.
 *
 * <p>State: {@link rockshift.testkit.SimulatedCluster} owns the simulation of one seed; {@link
 * rockshift.testkit.ControllerProcesses} owns the processes that it starts and terminates them all.
 *
 * <p>Threads: a simulation runs on the thread that calls it; different seeds may run in parallel.
 * Trials and benchmarks start daemon threads of their own.
 *
 * <p>Start reading at {@link rockshift.testkit.SimulatedCluster} for simulated time, or at {@link
 * rockshift.testkit.FaultTrial} for real processes.
 */
package rockshift.testkit;
