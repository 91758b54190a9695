/**
 * The operator's file: an HCL file with the features that an installation enables in addition to
 * the platform's own file. Errors name the file, the line and the field. The package reads and
 * checks the file; it does not act on the values, and a file with an error has no effect at all.
 *
 * <p>State: none beyond a file that is being read. Threads: none.
 *
 * <p>Begin with {@link rockshift.config.OperatorFile}, then {@link rockshift.config.Section}.
 */
package rockshift.config;
