/**
 * Scoped distribution on sockets. The package encodes the messages of {@code
 * rockshift.distribution}, manages connections and threads, and reads the settings; all decisions
 * are made by {@code rockshift.distribution}.
 *
 * <p>State: {@link rockshift.distribution.wire.DownstreamConnections} holds the connections of
 * subscribers, {@code UpstreamConnector} the one to an upstream; nothing is stored on disk.
 *
 * <p>Threading: {@link rockshift.distribution.wire.DistributionReactor} starts and stops the
 * threads: one for the I/O of all connections, one that accepts connections, and one for timers. A
 * relay or client runs its steps while holding its own monitor.
 *
 * <p>Start with {@link rockshift.distribution.wire.RelayProcess}, then {@link
 * rockshift.distribution.wire.DistributionCodec} for the encoding.
 */
package rockshift.distribution.wire;
