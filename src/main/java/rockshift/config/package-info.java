/**
 * The operator's file: what an installation switches on beside the platform's own file, in HCL.
 * Errors name the file, the line and the field. The package reads and checks; it does not act on
 * what it reads, and nothing half-read comes into force.
 *
 * <p>State: none beyond a file that is being read. Threads: none.
 *
 * <p>Begin with {@link rockshift.config.OperatorFile}, then {@link rockshift.config.Section}.
 */
package rockshift.config;
