/**
 * Settings as the planner reads them. The names that configuration files and the simulator use are
 * mapped here and nowhere else.
 */
package rockshift.settings;
