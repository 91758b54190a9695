package rockshift.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.http.HttpHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches discovery's list of replicas: requests the whole list once, then repeatedly the changes
 * since the version held. Whatever discovery does, the list held is kept, and no call takes longer
 * than the limits below.
 *
 * <p>It owns the thread that makes the calls. Any other thread may call {@link #follow} and {@link
 * #close}.
 */
final class DiscoveryWatch implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

    /**
     * How long discovery may hold a request until the list changes. A silent connection is detected
     * only after that time, during which the grace period of draining replicas runs; this is a
     * third of the usual one.
     */
    private static final int WATCH_MS = 1_000;

    /**
     * Initial timeout for connecting, and for an answer after the time that discovery may hold it.
     * Discovery's agent is on this machine and answers at once. The timeout doubles with each
     * failure, since a busy core may be the cause, up to the maximum that the protocol allows.
     */
    private static final int MIN_TIMEOUT_MS = 500;

    private static final int MAX_TIMEOUT_MS = 2_000;

    /** Timeout after which the HTTP library drops an abandoned connection; longer than any call. */
    private static final int ABANDON_TIMEOUT_MS = WATCH_MS + 2 * MAX_TIMEOUT_MS;

    /**
     * Pause after a failed call: shorter than the 200 ms within which the next call must arrive for
     * the watch to continue.
     */
    private static final int RETRY_PAUSE_MS = 100;

    /** Stands for no version: no list is held, and the whole list is requested. */
    private static final long NO_VERSION = -1;

    private final Thread thread = new Thread(this, "discovery-watch");
    private final EventLoop loop;
    private final DiscoveryHttpClient http;

    /**
     * The address to watch, published to the watch's thread. The thread reads it after each call,
     * because an interrupt only ends a call early, and may be swallowed by the code called.
     */
    private volatile HttpHost target;

    /** Signals the watch's thread to end. */
    private volatile boolean closed;

    // Used only by the watch's thread.
    private HttpHost host;
    private long version = NO_VERSION;
    private int timeoutMillis = MIN_TIMEOUT_MS;
    private String lastCause = "";

    DiscoveryWatch(InetSocketAddress discovery, EventLoop loop, DiscoveryHttpClient http) {
        target = host(discovery);
        this.loop = loop;
        this.http = http;
    }

    /** Returns an HTTP client with the timeout that a watch needs. */
    static DiscoveryHttpClient newHttpClient() {
        return new DiscoveryHttpClient(ABANDON_TIMEOUT_MS);
    }

    private static HttpHost host(InetSocketAddress address) {
        return new HttpHost("http", address.getHostString(), address.getPort());
    }

    void start() {
        thread.start();
    }

    /** Watches another address. The pending call is dropped, and the list held is kept. */
    void follow(InetSocketAddress discovery) {
        HttpHost next = host(discovery);
        if (!next.equals(target)) {
            target = next;
            thread.interrupt();
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    @Override
    public void run() {
        try (http) {
            while (!closed) {
                watchTarget();
            }
        }
    }

    private void watchTarget() {
        try {
            host = target;
            version = NO_VERSION;
            timeoutMillis = MIN_TIMEOUT_MS;
            while (!closed && host.equals(target)) {
                update();
            }
        } catch (InterruptedException interrupted) {
            // The fields set by follow() and close() give the reason. If neither is set, the same
            // address is watched again. The interrupt is not propagated beyond this thread's own
            // loop.
        } finally {
            http.disconnect();
        }
    }

    /** Makes one call and submits its list to the event loop. Pauses after a failure. */
    private void update() throws InterruptedException {
        try {
            EndpointList list = EndpointListReader.read(call());
            requireSuccessor(list);
            version = list.version();
            loop.submitEndpoints(list);
            lastCause = "";
            timeoutMillis = MIN_TIMEOUT_MS;
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException failure) {
            // The HTTP library throws a RuntimeException if a connection ends during a call.
            logFailure(failure instanceof ExecutionException ? failure.getCause() : failure);
            http.disconnect();
            timeoutMillis = Math.min(MAX_TIMEOUT_MS, 2 * timeoutMillis);
            TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
        }
    }

    private byte[] call()
            throws IOException, ExecutionException, TimeoutException, InterruptedException {
        String query = version == NO_VERSION ? "" : "?index=" + version + "&wait=" + WATCH_MS;
        return http.get(host, "/discovery/hosts" + query, timeoutMillis, WATCH_MS + timeoutMillis);
    }

    /**
     * Rejects a list that cannot follow the one held: an older version, or changes if no list is
     * held. The whole list is requested next and accepted with any version, since discovery may
     * have restarted.
     */
    private void requireSuccessor(EndpointList list) throws IOException {
        if (version == NO_VERSION && !list.whole()) {
            throw new IOException("expected the whole list, got changes only");
        }
        if (version != NO_VERSION && list.version() < version) {
            long held = version;
            version = NO_VERSION;
            throw new IOException("expected version " + held + " or newer, got " + list.version());
        }
    }

    /**
     * Logs a failure once per cause, not per retry; a call that was dropped on purpose is not
     * logged.
     */
    private void logFailure(Throwable failure) {
        if (closed || !host.equals(target)) {
            return;
        }
        String cause = failure.toString().lines().findFirst().orElse("");
        if (!cause.equals(lastCause)) {
            LOG.warn("discovery call failed keptVersion={} cause=\"{}\"", version, cause);
            lastCause = cause;
        }
    }
}
