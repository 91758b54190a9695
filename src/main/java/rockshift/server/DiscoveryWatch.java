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
 * Watches discovery's list of replicas: asks for the whole list once, then in one call after
 * another for what is newer than the version held. Whatever discovery does, the list that is held
 * is kept, and no call takes longer than the limits here.
 *
 * <p>It owns a thread, which alone makes the calls. {@link #follow} and {@link #close} may be
 * called by any other.
 */
final class DiscoveryWatch implements Runnable, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryWatch.class);

    /**
     * How long a watch may be held. One that fell silent shows it only afterwards, and the grace of
     * replicas that drain meanwhile runs: this is a third of the usual grace.
     */
    private static final int WATCH_MS = 1_000;

    /**
     * How long a connection or an answer may be late: the agent is on this machine and answers at
     * once. It doubles with each loss, which a busy core may have caused, up to what the protocol
     * leaves.
     */
    private static final int MIN_TIMEOUT_MS = 500;

    private static final int MAX_TIMEOUT_MS = 2_000;

    /** How long the transport keeps what was given up: longer than any call. */
    private static final int ABANDON_TIMEOUT_MS = WATCH_MS + 2 * MAX_TIMEOUT_MS;

    /** The pause after a failed call: shorter than the 200 ms that a watch outlives. */
    private static final int RETRY_PAUSE_MS = 100;

    /** In place of a version: no list is held, and the whole of it is asked for. */
    private static final long NO_VERSION = -1;

    private final Thread thread = new Thread(this, "discovery-watch");
    private final EventLoop loop;
    private final DiscoveryHttpClient http;

    /**
     * Publishes to the thread which address to watch. Interrupts only hurry the thread and may be
     * lost in code that it calls, so that it reads this after each call.
     */
    private volatile HttpHost target;

    /** Publishes to the thread that it is to end. */
    private volatile boolean closed;

    // Used by the watch's thread alone.
    private HttpHost host;
    private long version = NO_VERSION;
    private int timeoutMillis = MIN_TIMEOUT_MS;
    private String lastCause = "";

    DiscoveryWatch(InetSocketAddress discovery, EventLoop loop, DiscoveryHttpClient http) {
        target = host(discovery);
        this.loop = loop;
        this.http = http;
    }

    /** A transport with the limits that a watch needs. */
    static DiscoveryHttpClient newHttpClient() {
        return new DiscoveryHttpClient(ABANDON_TIMEOUT_MS);
    }

    private static HttpHost host(InetSocketAddress address) {
        return new HttpHost("http", address.getHostString(), address.getPort());
    }

    void start() {
        thread.start();
    }

    /** Watches another address; the call in hand is dropped, and the list held is kept. */
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
        } catch (InterruptedException hurried) {
            // The fields that follow() and close() publish say what for; if neither does, the
            // address is asked anew. The interrupt ends at this thread's own loop.
        } finally {
            http.disconnect();
        }
    }

    /** Makes one call and hands its list on; after a failure, pauses. */
    private void update() throws InterruptedException {
        try {
            EndpointList list = EndpointListReader.read(call());
            requireSuccessor(list);
            version = list.version();
            loop.submitEndpoints(list);
            lastCause = "";
            timeoutMillis = MIN_TIMEOUT_MS;
        } catch (IOException | ExecutionException | TimeoutException | RuntimeException failure) {
            // The transport fails with a RuntimeException where a connection ends under a call.
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
     * Refuses a list that cannot be added to the one held: an older one, or changes where no list
     * is held. The whole list is asked for then and taken whatever its version, since discovery may
     * have begun anew.
     */
    private void requireSuccessor(EndpointList list) throws IOException {
        if (version == NO_VERSION && !list.whole()) {
            throw new IOException("changes in place of the whole list");
        }
        if (version != NO_VERSION && list.version() < version) {
            long held = version;
            version = NO_VERSION;
            throw new IOException("version " + list.version() + " is older than " + held);
        }
    }

    /** One line for each cause, not for each retry; none for a call dropped on purpose. */
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
