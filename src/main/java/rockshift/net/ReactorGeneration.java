package rockshift.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One reactor of HttpCore, with a thread that accepts and a thread for the I/O of its connections.
 * It reports once when either thread has ended. After the end of the accepting thread its
 * connections live on, until it is shut down. Thread-safe.
 */
final class ReactorGeneration {
    private static final Logger LOG = LoggerFactory.getLogger(ReactorGeneration.class);

    private static final String LISTENER_ENDED = "the listener has ended";

    /** How often a request to listen is checked for an accepting thread that has ended. */
    private static final long ANSWER_CHECK_INTERVAL_MS = 50;

    /** Reacts to what happens in a generation, on the thread to which it happens. */
    interface Owner {
        /** Creates the handler of a connection. */
        SerializedEventHandler newHandler(
                ReactorGeneration generation, ProtocolIOSession session, Object attachment);

        /** Called after each accept; the next one follows when this method returns. */
        void accepted(ReactorGeneration generation, IOWorkerStats worker);

        /** Called on the accepting thread when it no longer accepts. */
        void listenerEnded(ReactorGeneration generation);

        /** Called when the last connection was closed. */
        void lastDisconnected(ReactorGeneration generation);
    }

    private final Owner owner;
    private final DefaultListeningIOReactor reactor;
    private final List<ListenerEndpoint> endpoints = new ArrayList<>();
    private final Set<IOSession> sessions = ConcurrentHashMap.newKeySet();

    private volatile Thread acceptingThread;

    private volatile boolean listenerEnded;

    /** Opens the selectors; {@link #start} starts the threads. */
    ReactorGeneration(String name, IOReactorConfig config, Owner owner) {
        this.owner = owner;
        IOEventHandlerFactory handlers =
                (session, attachment) -> owner.newHandler(this, session, attachment);
        reactor =
                new DefaultListeningIOReactor(
                        handlers,
                        config,
                        task -> newThread(name + "-io", task, this::workerEnded),
                        task -> {
                            acceptingThread =
                                    newThread(name + "-listener", task, this::reportListenerEnded);
                            return acceptingThread;
                        },
                        null,
                        failure -> LOG.error("reactor failed name={}", name, failure),
                        null,
                        null,
                        session -> session.close(CloseMode.IMMEDIATE),
                        this::selectWorker);
    }

    /** Returns a daemon thread that reports its end, whatever caused it. */
    private static Thread newThread(String name, Runnable task, Runnable ended) {
        Runnable reporting =
                () -> {
                    try {
                        task.run();
                    } finally {
                        ended.run();
                    }
                };
        Thread thread = new Thread(reporting, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Without its I/O thread a generation is of no use: this ends the accepting thread, too. */
    private void workerEnded() {
        reactor.initiateShutdown();
    }

    /** Called by the accepting thread as the last thing it does. */
    void reportListenerEnded() {
        listenerEnded = true;
        owner.listenerEnded(this);
    }

    /** Called by HttpCore after each accept, and on the caller's thread for each connect. */
    private int selectWorker(IOWorkerStats[] workers) {
        if (Thread.currentThread() == acceptingThread) {
            owner.accepted(this, workers[0]);
        }
        return 0;
    }

    void start() {
        reactor.start();
    }

    /**
     * Listens on an address.
     *
     * @return the address with its port
     */
    InetSocketAddress listen(ListenAddress listen) throws IOException, InterruptedException {
        try {
            ListenerEndpoint endpoint =
                    await(reactor.listen(listen.address(), listen.attachment(), null));
            synchronized (endpoints) {
                endpoints.add(endpoint);
            }
            return (InetSocketAddress) endpoint.getAddress();
        } catch (ExecutionException failed) {
            throw new IOException(failed.getCause().getMessage(), failed.getCause());
        } catch (CancellationException ended) {
            throw new IOException(LISTENER_ENDED, ended);
        }
    }

    /**
     * Waits until the accepting thread has answered. HttpCore never completes a request that it
     * gets while that thread ends.
     */
    private ListenerEndpoint await(Future<ListenerEndpoint> request)
            throws IOException, InterruptedException, ExecutionException {
        while (true) {
            // Read first: the thread may answer as the last thing it does.
            boolean ended = listenerEnded;
            try {
                return request.get(ANSWER_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException unanswered) {
                if (ended) {
                    throw new IOException(LISTENER_ENDED, unanswered);
                }
            }
        }
    }

    DefaultListeningIOReactor reactor() {
        return reactor;
    }

    boolean isActive() {
        return reactor.getStatus() == IOReactorStatus.ACTIVE;
    }

    /** Returns whether the accepting thread has ended. */
    boolean hasListenerEnded() {
        return listenerEnded;
    }

    /** Returns the number of open connections. */
    int connections() {
        return sessions.size();
    }

    void connected(IOSession session) {
        sessions.add(session);
    }

    void disconnected(IOSession session) {
        if (sessions.remove(session) && sessions.isEmpty()) {
            owner.lastDisconnected(this);
        }
    }

    /** Releases the addresses. The accepting thread leaves them open when it ends. */
    void closeListeners() {
        synchronized (endpoints) {
            endpoints.forEach(endpoint -> endpoint.close(CloseMode.IMMEDIATE));
            endpoints.clear();
        }
    }

    /** Closes the addresses and all connections; does not wait for that. */
    void shutDown() {
        closeListeners();
        reactor.initiateShutdown();
    }
}
