package rockshift.server;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller on sockets, put together from its parts: the event loop, discovery's watch, and the
 * listener with its connections. The one place that starts and stops their threads. Any thread may
 * reload or close it.
 */
final class ControllerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    private final ControllerConfiguration configuration;
    private final EventLoop loop;
    private final Thread loopThread;
    private final DiscoveryWatch discovery;
    private final ProxyConnections connections;
    private final ProxyListener listener;

    /** What tells of agreed changes, or null. */
    private final AgreedChangesSource source;

    private final AgreedChangesReceiver receiver;

    /** Held while a file is read, so that the file written last is the one that counts. */
    private final Object reloadLock = new Object();

    private int port;

    /** Guarded by this object's lock: once set, nothing is started any more. */
    private boolean closed;

    ControllerServer(ControllerConfiguration configuration) {
        this(configuration, null);
    }

    ControllerServer(ControllerConfiguration configuration, AgreedChangesSource source) {
        this.configuration = configuration;
        this.source = source;
        loop = new EventLoop(configuration.seed(), configuration.settings());
        receiver = source == null ? null : new AgreedChangesReceiver(loop);
        loop.submitEndpoints(configuration.known());
        loopThread = new Thread(loop, "event-loop");
        discovery =
                new DiscoveryWatch(configuration.discovery(), loop, DiscoveryWatch.newHttpClient());
        connections =
                new ProxyConnections(loop, configuration.settings(), configuration.descriptors());
        listener = new ProxyListener(connections);
    }

    void start() throws IOException, InterruptedException {
        if (source != null) {
            source.begin(receiver);
        }
        synchronized (this) {
            if (closed) {
                return;
            }
            listen();
            loopThread.start();
            discovery.start();
        }
        LOG.info(
                "{} serves on {}, port {}",
                configuration.name(),
                configuration.listen().getHostString(),
                port);
        logLimits();
    }

    private void listen() throws IOException, InterruptedException {
        try {
            port = listener.listen(configuration.listen());
        } catch (IOException failure) {
            listener.close();
            throw new IOException(
                    "cannot listen on " + configuration.listen() + ": " + failure.getMessage(),
                    failure);
        }
    }

    /** Says at the start which limits would not hold if all proxies connected here. */
    private void logLimits() {
        if (connections.peersBeyondLimit() > 0) {
            LOG.warn(
                    "limits.sockets too low for all peers: sockets={} peersBeyondLimit={}",
                    configuration.descriptors(),
                    connections.peersBeyondLimit());
        }
        configuration.channelWarnings().forEach(LOG::warn);
    }

    int port() {
        return port;
    }

    String name() {
        return configuration.name();
    }

    /** Whether the event loop still runs. */
    boolean isRunning() {
        return loopThread.isAlive();
    }

    /** Waits until the event loop has ended, or for a time in ms; 0 waits for ever. */
    void awaitEnd(long timeoutMillis) throws InterruptedException {
        loopThread.join(timeoutMillis);
    }

    /**
     * Reads the configuration again and takes over what may change while serving, which is where
     * discovery is. The log names what differs and needs a restart. A file that cannot be used
     * changes nothing. No connection notices any of it.
     */
    void reload(String file) {
        // Not under this object's lock: a file that is slow to read must not hold up close().
        synchronized (reloadLock) {
            try {
                apply(file, ControllerConfigurationReader.read(file));
            } catch (InvalidConfigurationException invalid) {
                LOG.warn(
                        "configuration reload failed, the previous one is kept: {}",
                        invalid.getMessage());
            }
        }
    }

    private synchronized void apply(String file, ControllerConfiguration reloaded) {
        if (closed) {
            return;
        }
        String restartNeeded = configuration.restartFields(reloaded);
        LOG.info(
                "configuration reloaded file={} discovery={}:{}{}",
                file,
                reloaded.discovery().getHostString(),
                reloaded.discovery().getPort(),
                restartNeeded.isEmpty() ? "" : " restartNeededFor=\"" + restartNeeded + "\"");
        discovery.follow(reloaded.discovery());
    }

    /**
     * Ends all parts, and waits for none but, for a short grace, the sockets. The event loop comes
     * first: it would take connections that are closed here for proxies that left, and tell the
     * others so.
     */
    @Override
    public void close() throws InterruptedException {
        loop.close();
        synchronized (this) {
            closed = true;
            loopThread.interrupt();
            discovery.close();
            listener.close();
        }
        if (source != null) {
            source.end();
        }
    }
}
