/**
 * The planner: from load reports, usage, endpoints and joins to routing tables and admission
 * levels. {@link Planner} is what a host calls; its planning round names the policies in their
 * order. Each policy is a class: its doc comment says what it decides, its inputs with their units,
 * the failure that it guards against, how that shows and why the guard holds.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: time and the seed are arguments, and
 * one thread of the host calls. Times are ticks of 100 microseconds, see {@link
 * rockshift.model.Ticks}.
 */
package rockshift.planner;
