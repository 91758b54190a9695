/**
 * Scoped distribution on sockets: the encoding of its messages, the ports of publishers and
 * subscribers, the reactor that runs them, and the relay process. Decisions are {@code
 * rockshift.distribution}'s.
 */
package rockshift.distribution.wire;
