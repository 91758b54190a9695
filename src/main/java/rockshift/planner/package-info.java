/**
 * The planner: turns load reports, usage, endpoints and joins into routing tables and admission
 * levels. {@link Planner} is the entry point for a host; its planning round calls the policies in
 * order. Each policy is a class whose doc comment states what it decides, its inputs with their
 * units, the failure that it guards against, the symptom of that failure, and why the guard holds.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread: the time and the random seed are
 * arguments, and one thread of the host makes all calls. Times are ticks of 100 microseconds, see
 * {@link rockshift.model.Ticks}.
 */
package rockshift.planner;
