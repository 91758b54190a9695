/**
 * Measurements of how costs grow with size, and of many governors at once: loads for one real
 * governor, lines fitted through what was measured, and a checker of what a run of many governors
 * observed.
 */
package rockshift.capacity;
