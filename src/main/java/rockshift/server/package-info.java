/**
 * The controller on sockets: listener, connections, protocol codec, discovery watch and the event
 * loop that owns the planner. Socket threads reach the planner through the loop's queue only.
 */
package rockshift.server;
