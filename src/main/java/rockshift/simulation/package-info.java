/**
 * The adapter between the planner and the simulator protocol. One process hosts many planners: on
 * one thread, it reads batches of events from standard input and writes a reply to each to standard
 * output. Start with {@link rockshift.simulation.SimulatorAdapter}. Only {@code
 * SimulatorEventReader} and {@code SimulatorReply} know the protocol's names of events and actions.
 */
package rockshift.simulation;
