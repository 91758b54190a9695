/**
 * The commands of the program, and what joins the server to the members or relays in its process.
 * Exit statuses are those of {@link rockshift.cli.Commands}.
 *
 * <p>State: none that outlives a command; {@code ClusterChangesSource} and {@code
 * DistributionChangesSource} own the member or subscription of a controller's process.
 *
 * <p>Threads: a command runs on the main thread; what it starts has threads of its own.
 *
 * <p>Begin with {@link rockshift.cli.Commands}; a class a command follows.
 */
package rockshift.cli;
