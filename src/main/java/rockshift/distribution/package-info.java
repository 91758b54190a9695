/**
 * Scoped distribution: hands agreed configuration and the list of replicas from the members,
 * through relays, to every governor as a versioned watch. All of it is decided here without I/O,
 * clocks or threads; a host carries messages and hands in time and chance.
 */
package rockshift.distribution;
