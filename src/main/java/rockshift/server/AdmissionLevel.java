package rockshift.server;

import rockshift.model.ClassSet;

/**
 * The fraction of the requests of some classes that the proxies of a table admit.
 *
 * @param admittedFraction between 0 and 1
 * @param retryMode how proxies retry, 0 to 3
 */
record AdmissionLevel(ClassSet classes, double admittedFraction, int retryMode) {}
