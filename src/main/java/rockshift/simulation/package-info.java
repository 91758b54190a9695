/**
 * The adapter between the planner and the simulator's wire: one process hosts many planners and
 * answers batches of events from standard input on standard output, on one thread. Begin with
 * {@link rockshift.simulation.SimulatorAdapter}; {@code SimulatorEventReader} and {@code
 * SimulatorReply} alone know the words of the wire.
 */
package rockshift.simulation;
