/**
 * Scoped distribution of agreed configuration from the cluster members, through relays, to every
 * controller, as a versioned watch.
 *
 * <p>State: {@link rockshift.distribution.ConfigurationStore} holds the state that is served,
 * {@link rockshift.distribution.Publisher} the downstream subscriptions, {@link
 * rockshift.distribution.Subscriber} the one upstream subscription. All of it is in memory only.
 *
 * <p>Threading: the package does no I/O, reads no clock and starts no thread. A host calls each
 * object from one thread at a time, transports the messages, and passes in the time and a source of
 * random numbers.
 *
 * <p>Start with {@link rockshift.distribution.DistributionMessage}, then {@link
 * rockshift.distribution.Publisher} and {@link rockshift.distribution.Subscriber}; {@link
 * rockshift.distribution.Relay} combines the two. {@code rockshift.distribution.wire} runs them on
 * sockets.
 */
package rockshift.distribution;
