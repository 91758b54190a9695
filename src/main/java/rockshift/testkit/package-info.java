/**
 * Simulated worlds, stand-ins and fault trials that ship with the program, so that operators can
 * run them on their own machines.
 *
 * <p>State: {@link rockshift.testkit.SimulatedCluster} owns a world of one seed; {@link
 * rockshift.testkit.ControllerProcesses} owns the processes that it starts and ends them all.
 *
 * <p>Threads: a simulated world runs on the thread that calls it, and different seeds side by side.
 * Trials and benchmarks start daemon threads of their own.
 *
 * <p>Begin with {@link rockshift.testkit.SimulatedCluster} for simulated time, or with {@link
 * rockshift.testkit.FaultTrial} for real processes.
 */
package rockshift.testkit;
