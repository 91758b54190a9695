package rockshift.server;

import rockshift.model.ClassSet;

/**
 * How much of some classes' requests a table's proxies admit.
 *
 * @param admittedFraction between 0 and 1
 * @param retryMode how often proxies try again, 0 to 3
 */
record AdmissionLevel(ClassSet classes, double admittedFraction, int retryMode) {}
