/**
 * Immutable value types shared by hosts and the planner: endpoints, sets of request classes, and
 * the scope of the changes that a controller may make. All are thread-safe.
 */
package rockshift.model;
