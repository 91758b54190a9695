/**
 * Scoped distribution on sockets. Decisions are {@code rockshift.distribution}'s; this package
 * encodes its messages, owns its connections and threads, and reads its settings.
 *
 * <p>State: {@link rockshift.distribution.wire.DownstreamConnections} owns the connections of
 * subscribers, {@code UpstreamConnector} the one to an upstream; nothing is on disk.
 *
 * <p>Threads: {@link rockshift.distribution.wire.DistributionReactor} starts and stops both, one
 * for all connections and one for timers. A relay or client runs its steps under its own monitor.
 *
 * <p>Begin with {@link rockshift.distribution.wire.RelayProcess}, then {@link
 * rockshift.distribution.wire.DistributionCodec} for the bytes.
 */
package rockshift.distribution.wire;
