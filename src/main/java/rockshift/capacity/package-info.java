/**
 * Capacity measurements: how the costs of one controller grow with size, and runs of many
 * controllers at once.
 *
 * <p>State: {@link rockshift.capacity.ScaleRun} owns a run and, through its cluster, the processes
 * and controllers in it; {@link rockshift.capacity.ControllerSweep} owns the runs of one controller
 * over sizes. Result tables are kept in a folder that the user specifies.
 *
 * <p>Threads: runs start their own daemon threads and processes and end them all; {@link
 * rockshift.capacity.ScaleChecker} accepts observations from any thread.
 *
 * <p>Start reading at {@link rockshift.capacity.ScaleRun} for many controllers, or at {@link
 * rockshift.capacity.ControllerSweep} for one; {@link rockshift.capacity.CapacityReport} projects
 * the results of both to the target size.
 */
package rockshift.capacity;
