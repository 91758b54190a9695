package rockshift.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import rockshift.net.AcceptPolicy;
import rockshift.net.OpenDescriptors;
import rockshift.net.SupervisedReactor;

/**
 * Listens on the controller's port and passes accepted connections to {@link ProxyConnections}. It
 * owns the reactor with its threads: one that accepts and one that reads and writes all
 * connections.
 */
final class ProxyListener {
    /** Connections that may wait to be accepted, for all proxies connecting at once. */
    private static final int ACCEPT_BACKLOG = 1024;

    /** Interval at which the reactor checks for idle connections. */
    private static final int IDLE_CHECK_INTERVAL_MS = 100;

    /** Connections beyond the limit that may be being accepted, or being closed to make room. */
    private static final int MAX_CONNECTIONS_IN_TRANSIT = 16;

    /** Time for all connections to close; a planned restart allows 0.7 s. */
    private static final int SHUTDOWN_GRACE_MS = 300;

    private final ProxyConnections connections;
    private final SupervisedReactor reactor;

    /**
     * Opens the listener's selectors.
     *
     * @param descriptors the descriptors that the process may open
     */
    ProxyListener(ProxyConnections connections, OpenDescriptors descriptors) {
        this.connections = connections;
        IOReactorConfig config =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(IDLE_CHECK_INTERVAL_MS))
                        .build();
        reactor =
                new SupervisedReactor(
                        "proxies",
                        config,
                        (session, attachment) -> connections.accept(session),
                        new ConnectionLimit(),
                        descriptors);
    }

    /**
     * Starts to accept connections.
     *
     * @return the port, which the system chooses if the address has port 0
     */
    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        return reactor.listen(address, null).getPort();
    }

    /**
     * Closes the port and all connections, and waits for that at most {@link #SHUTDOWN_GRACE_MS}.
     */
    void close() throws InterruptedException {
        reactor.close(SHUTDOWN_GRACE_MS);
    }

    /**
     * Lets the accepting thread wait while connections are scarce, since it accepts faster than the
     * I/O thread closes.
     */
    private final class ConnectionLimit implements AcceptPolicy {
        @Override
        public boolean mayAccept(int channels) {
            return channels <= connections.maxConnections() + MAX_CONNECTIONS_IN_TRANSIT;
        }

        @Override
        public void descriptorsShort() {
            connections.closeOldestUnidentified();
        }
    }
}
