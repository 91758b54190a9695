/**
 * The controller on sockets: listener, connections, protocol codec, discovery watch and the event
 * loop that owns the planner. Socket threads reach the planner only through the loop's queue.
 */
package rockshift.server;
