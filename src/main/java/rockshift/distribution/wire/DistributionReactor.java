package rockshift.distribution.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.wire.ConnectionLog;
import rockshift.wire.FramedConnection;

/**
 * The threads of distribution in a process: one for all connections and one for all timers, however
 * many clients and relays share it. It decides nothing and knows no messages.
 */
public final class DistributionReactor implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionReactor.class);

    /** Bytes read from one connection before the others have their turn. */
    private static final int READ_BUFFER_BYTES = 64 << 10;

    /** Connections that may wait to be taken: all subscribers dialling at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private static final int DIAL_TIMEOUT_MILLIS = 1_000;
    private static final int SELECT_INTERVAL_MILLIS = 250;
    private static final int SHUTDOWN_GRACE_MILLIS = 300;
    private static final int TICK_INTERVAL_MILLIS = 50;

    private final DefaultListeningIOReactor reactor;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(daemonThreads("distribution-timer"));
    private final Set<Runnable> tickTasks = ConcurrentHashMap.newKeySet();
    private final ConnectionLog upstreamLog = new ConnectionLog(LOG, "upstream");
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    /** Makes the handler of a connection that was dialled or taken. */
    interface ConnectionFactory {
        FramedConnection create(IOSession session, ByteBuffer readBuffer);
    }

    /** Starts both threads; no connection and no task is there yet. */
    public DistributionReactor() {
        IOReactorConfig oneThread =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(SELECT_INTERVAL_MILLIS))
                        .build();
        reactor =
                new DefaultListeningIOReactor(
                        (session, factory) ->
                                ((ConnectionFactory) factory).create(session, readBuffer),
                        oneThread,
                        daemonThreads("distribution-io"),
                        daemonThreads("distribution-listener"),
                        null,
                        failure -> LOG.error("distribution reactor failed", failure),
                        null,
                        session -> session.close(CloseMode.IMMEDIATE));
        reactor.start();
        timer.scheduleWithFixedDelay(
                () -> tickTasks.forEach(DistributionReactor::runGuarded),
                TICK_INTERVAL_MILLIS,
                TICK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static ThreadFactory daemonThreads(String name) {
        return work -> {
            Thread thread = new Thread(work, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /** Listens, and has each connection handled by what the factory makes; answers the port. */
    int listen(InetSocketAddress address, ConnectionFactory factory)
            throws IOException, InterruptedException {
        try {
            return ((InetSocketAddress) reactor.listen(address, factory, null).get().getAddress())
                    .getPort();
        } catch (ExecutionException failure) {
            throw new IOException(
                    "cannot listen on " + address + ": " + failure.getCause().getMessage(),
                    failure.getCause());
        }
    }

    /** What comes of a dial, told on the thread of the connections. */
    interface DialResult {
        /** Nobody was reached: why. */
        void failed(String why);
    }

    /** Dials an address; a connection that is reached tells by itself. */
    void dial(InetSocketAddress address, ConnectionFactory factory, DialResult result) {
        reactor.connect(
                new HttpHost(address.getHostString(), address.getPort()),
                address,
                null,
                Timeout.ofMilliseconds(DIAL_TIMEOUT_MILLIS),
                factory,
                new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        // The connection itself says that it is connected.
                    }

                    @Override
                    public void failed(Exception failure) {
                        result.failed(String.valueOf(failure.getMessage()));
                    }

                    @Override
                    public void cancelled() {
                        result.failed("given up");
                    }
                });
    }

    /**
     * Runs a task every 50 ms on the timer's thread; a failure is logged and the next run comes all
     * the same.
     */
    void addTickTask(Runnable task) {
        tickTasks.add(task);
    }

    /** Runs a task no more. */
    void removeTickTask(Runnable task) {
        tickTasks.remove(task);
    }

    /** The log of connections that were dialled. */
    public ConnectionLog upstreamLog() {
        return upstreamLog;
    }

    /** Runs a task once, soon, on the timer's thread; not at all once the reactor is closed. */
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

    /** Ends all connections and timers. */
    @Override
    public void close() throws InterruptedException {
        timer.shutdownNow();
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMilliseconds(SHUTDOWN_GRACE_MILLIS));
    }
}
