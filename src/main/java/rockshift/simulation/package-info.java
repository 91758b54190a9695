/**
 * The adapter between the planner and the simulator's wire: one process hosts many planners and
 * answers batches of events from standard input on standard output, on one thread.
 */
package rockshift.simulation;
