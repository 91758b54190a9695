package rockshift.net;

import java.net.InetSocketAddress;

/**
 * An address that a reactor listens on.
 *
 * @param attachment passed to the factory of event handlers with each accepted connection
 */
record ListenAddress(InetSocketAddress address, Object attachment) {}
