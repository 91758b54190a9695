/**
 * One planning round: from load reports, usage, endpoints and joins to routing tables and admission
 * levels. {@link Planner} is what a host calls; it owns all planning state and belongs to one
 * thread of its host. Nothing here does I/O, reads a clock or starts a thread: time and the seed
 * are handed in.
 */
package rockshift.planner;
