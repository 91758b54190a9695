/**
 * The commands of the program, and the adapters between a controller and the member or subscription
 * in its process. Exit statuses are those of {@link rockshift.cli.Commands}.
 *
 * <p>State: none that outlives a command; {@code ClusterChangesSource} and {@code
 * DistributionChangesSource} own the member or subscription of a controller's process.
 *
 * <p>Threads: a command runs on the main thread; what it starts has threads of its own.
 *
 * <p>Begin with {@link rockshift.cli.Commands}; each command has a class of its own.
 */
package rockshift.cli;
