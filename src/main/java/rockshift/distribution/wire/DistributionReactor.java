package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.net.AcceptPolicy;
import rockshift.net.OpenDescriptors;
import rockshift.net.SupervisedReactor;
import rockshift.wire.ConnectionLog;
import rockshift.wire.FramedConnection;

/**
 * The threads for distribution in a process, shared by all its clients and relays: one for the I/O
 * of all connections, one that accepts connections, and one for timers. It makes no protocol
 * decisions and does not interpret messages.
 */
public final class DistributionReactor implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionReactor.class);

    /** Bytes read from one connection before other connections are served. */
    private static final int READ_BUFFER_BYTES = 64 << 10;

    /**
     * Connections that may wait to be accepted; large enough for all subscribers connecting at
     * once.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int SELECT_INTERVAL_MILLIS = 250;
    private static final int SHUTDOWN_GRACE_MILLIS = 300;
    private static final int TICK_INTERVAL_MILLIS = 50;

    private final SupervisedReactor reactor;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(daemonThreads("distribution-timer"));
    private final Set<Runnable> tickTasks = ConcurrentHashMap.newKeySet();
    private final ConnectionLog upstreamLog = new ConnectionLog(LOG, "upstream");
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /** Creates the handler of a connection that was opened or accepted. */
    interface ConnectionFactory {
        FramedConnection create(IOSession session, ByteBuffer readBuffer);
    }

    /** Starts the threads, without any connection or task. */
    public DistributionReactor() {
        IOReactorConfig config =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                        .build();
        reactor =
                new SupervisedReactor(
                        "distribution",
                        config,
                        (session, factory) ->
                                ((ConnectionFactory) factory).create(session, readBuffer),
                        AcceptPolicy.WHILE_DESCRIPTORS_ARE_FREE,
                        new OpenDescriptors());
        reactor.start();
        timer.scheduleWithFixedDelay(
                () -> tickTasks.forEach(DistributionReactor::runGuarded),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /**
     * Listens on an address; the factory creates the handlers of the accepted connections.
     *
     * @return the port
     */
    int listen(InetSocketAddress address, ConnectionFactory factory)
            throws IOException, InterruptedException {
        try {
            return reactor.listen(address, factory).getPort();
        } catch (IOException failure) {
            throw new IOException(
                    "cannot listen on " + address + ": " + failure.getMessage(), failure);
        }
    }

    /** Receives the failure of a connection attempt, on the I/O thread. */
    interface ConnectFailureListener {
        /**
         * Called when the address could not be reached.
         *
         * @param message why the attempt failed
         */
        void failed(String message);
    }

    /** Connects to an address. On success the connection's own handler is notified. */
    void connect(
            InetSocketAddress address,
            ConnectionFactory factory,
            ConnectFailureListener failureListener) {
        reactor.connect(
                address,
                CONNECT_TIMEOUT_MILLIS,
                factory,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        // The connection's handler is notified by its connected event.
                    }

                    @Override
                    public void failed(Exception failure) {
                        failureListener.failed(String.valueOf(failure.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        failureListener.failed("connection attempt cancelled");
                    }
                });
    }

    /**
     * Runs a task every 50 ms on the timer thread. A failure is logged and does not stop further
     * runs.
     */
    void addTickTask(Runnable task) {
        tickTasks.add(task);
    }

    /** Stops running a task. */
    void removeTickTask(Runnable task) {
        tickTasks.remove(task);
    }

    /** Returns the log of upstream connections. */
    public ConnectionLog upstreamLog() {
        return upstreamLog;
    }

    /**
     * Runs a task once on the timer thread, as soon as possible; drops it if the reactor is closed.
     */
    void execute(Runnable task) {
        try {
            timer.execute(() -> runGuarded(task));
        } catch (RejectedExecutionException closed) {
            LOG.debug("task dropped reason=closed");
        }
    }

    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException failure) {
            LOG.error("distribution task failed", failure);
        }
    }

    /** Closes all connections and stops the timers. */
    @Override
    public void close() throws InterruptedException {
        timer.shutdownNow();
        reactor.close(SHUTDOWN_GRACE_MILLIS);
    }
}
