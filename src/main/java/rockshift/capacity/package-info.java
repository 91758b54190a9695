/**
 * Measurements of how costs grow with size, and of many controllers at once.
 *
 * <p>State: {@link rockshift.capacity.ScaleRun} owns a run and, through its cluster, the processes
 * and controllers in it; {@link rockshift.capacity.ControllerSweep} owns the runs of one controller
 * over sizes. Tables are kept in a folder that the user names.
 *
 * <p>Threads: runs start daemon threads and processes of their own and end them all; {@link
 * rockshift.capacity.ScaleChecker} takes observations from any of them.
 *
 * <p>Begin with {@link rockshift.capacity.ScaleRun} for many controllers, {@link
 * rockshift.capacity.ControllerSweep} for one; {@link rockshift.capacity.CapacityReport} works the
 * target out of both.
 */
package rockshift.capacity;
