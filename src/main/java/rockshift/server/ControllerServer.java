package rockshift.server;

import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.net.OpenDescriptors;

/**
 * A controller on sockets: the event loop, the watch of discovery, and the listener with its
 * connections. Only this class starts and stops their threads. Any thread may call {@link #reload}
 * and {@link #close}.
 */
final class ControllerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    private final ControllerConfiguration configuration;
    private final EventLoop loop;
    private final Thread loopThread;
    private final DiscoveryWatch discovery;
    private final ProxyConnections connections;
    private final ProxyListener listener;

    /** Source of agreed changes, or null. */
    private final AgreedChangesSource source;

    private final AgreedChangesReceiver receiver;

    /** Held while a file is read, so that the last written file takes effect. */
    private final Object reloadLock = new Object();

    private int port;

    /** Guarded by this object's lock. Once it is set, nothing is started any more. */
    private boolean closed;

    ControllerServer(ControllerConfiguration configuration, AgreedChangesSource source) {
        this(configuration, source, new OpenDescriptors(configuration.descriptors()));
    }

    /**
     * Creates a controller that shares its process with others.
     *
     * @param source source of agreed changes, or null
     * @param descriptors the descriptors that the process may open
     */
    ControllerServer(
            ControllerConfiguration configuration,
            AgreedChangesSource source,
            OpenDescriptors descriptors) {
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
        listener = new ProxyListener(connections, descriptors);
    }

    void start() throws IOException, InterruptedException {
        if (source != null) {
            source.start(receiver);
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

    /** Logs at the start which limits are too low for all proxies to connect here. */
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

    /** Returns whether the event loop is still running. */
    boolean isRunning() {
        return loopThread.isAlive();
    }

    /** Waits until the event loop has ended, at most for a timeout in ms; 0 waits without limit. */
    void awaitEnd(long timeoutMillis) throws InterruptedException {
        loopThread.join(timeoutMillis);
    }

    /**
     * Reads the configuration again and applies the only field that may change while serving, the
     * address of discovery. The log names changed fields that need a restart. An invalid file
     * changes nothing. Connections are not affected.
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
     * Stops all parts, without waiting for any except, for a short grace, the sockets. The event
     * loop is stopped first: otherwise it would treat connections that are closed here as proxies
     * that left, and would tell the other proxies.
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
            source.stop();
        }
    }
}
