/**
 * Plain values that hosts and the planner share: endpoints, sets of request classes, and how much a
 * controller may order. All are immutable and safe on any thread.
 */
package rockshift.model;
