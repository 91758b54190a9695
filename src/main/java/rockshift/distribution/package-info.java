/**
 * Scoped distribution: hands agreed configuration from the members, through relays, to every
 * controller as a versioned watch.
 *
 * <p>State: {@link rockshift.distribution.ConfigurationStore} owns the state that is served, {@link
 * rockshift.distribution.Publisher} the subscriptions to it, {@link
 * rockshift.distribution.Subscriber} the one subscription upstream. None of it is durable.
 *
 * <p>Threads: none. Everything is decided without I/O, clocks or threads; a host calls each object
 * from one thread at a time, carries messages, and hands in time and random numbers.
 *
 * <p>Begin with {@link rockshift.distribution.DistributionMessage}, then {@link
 * rockshift.distribution.Publisher} and {@link rockshift.distribution.Subscriber}; {@link
 * rockshift.distribution.Relay} joins the two. {@code rockshift.distribution.wire} runs them on
 * sockets.
 */
package rockshift.distribution;
