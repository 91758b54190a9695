/**
 * Settings of the planner. Only this package maps the names that configuration files and the
 * simulator use.
 */
package rockshift.settings;
