package rockshift.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listens on the controller's port and passes accepted connections to {@link ProxyConnections}. It
 * owns the reactor's two threads, one that accepts and one that reads and writes all connections.
 */
final class ProxyListener {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyListener.class);

    /** Connections that may wait to be accepted, for all proxies connecting at once. */
    private static final int ACCEPT_BACKLOG = 1024;

    /** Interval at which the reactor checks for idle connections. */
    private static final int IDLE_CHECK_INTERVAL_MS = 100;

    /** Connections beyond the limit that may be being accepted, or being closed to make room. */
    private static final int MAX_CONNECTIONS_IN_TRANSIT = 16;

    /** Pause of the accepting thread between checks for a free descriptor. */
    private static final long ACCEPT_PAUSE_NANOS = 1_000_000;

    /** Time for all connections to close; a planned restart allows 0.7 s. */
    private static final int SHUTDOWN_GRACE_MS = 300;

    private final ProxyConnections connections;
    private final DefaultListeningIOReactor reactor;

    ProxyListener(ProxyConnections connections) {
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
                new DefaultListeningIOReactor(
                        (session, attachment) -> connections.accept(session),
                        config,
                        null,
                        null,
                        null,
                        failure -> LOG.error("listener failed", failure),
                        null,
                        null,
                        session -> session.close(CloseMode.IMMEDIATE),
                        this::selectWorker);
    }

    /**
     * Starts to accept connections.
     *
     * @return the port, which the system chooses if the address has port 0
     */
    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        try {
            ListenerEndpoint endpoint = reactor.listen(address, null).get();
            return ((InetSocketAddress) endpoint.getAddress()).getPort();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage(), failure.getCause());
        }
    }

    /**
     * Selects the reactor's only worker for an accepted connection. The accepting thread waits here
     * while connections are scarce: it accepts faster than the worker closes, and it terminates for
     * good if an accept finds no free descriptor.
     */
    private int selectWorker(IOWorkerStats[] workers) {
        int maxChannels = connections.maxConnections() + MAX_CONNECTIONS_IN_TRANSIT;
        while (reactor.getStatus() == IOReactorStatus.ACTIVE
                && workers[0].totalChannelCount() + workers[0].pendingChannelCount()
                        > maxChannels) {
            LockSupport.parkNanos(ACCEPT_PAUSE_NANOS);
        }
        return 0;
    }

    /**
     * Closes the port and all connections, and waits for that at most {@link #SHUTDOWN_GRACE_MS}.
     */
    void close() throws InterruptedException {
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMilliseconds(SHUTDOWN_GRACE_MS));
    }
}
