package rockshift.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorShutdownException;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts and opens connections on HttpCore's reactor, and goes on after one of its threads has
 * ended. HttpCore ends the accepting thread at the first accept that fails, for example as the
 * process has no free descriptor; connections that are open live on. Two measures answer that:
 *
 * <ul>
 *   <li>Before the next accept, the accepting thread waits at an {@link AcceptGate} until enough
 *       descriptors are free for the rest of the process.
 *   <li>When the accepting thread has ended all the same, for whatever reason, it opens a new
 *       generation of the reactor on the same addresses, and repeats that until it succeeds.
 *       Connections of the generation before are kept.
 * </ul>
 *
 * <p>Handlers need no synchronization of their own: events of all connections, whatever their
 * generation, come one at a time, and {@link #execute} excludes them. All methods are thread-safe.
 */
public final class SupervisedReactor {
    private static final Logger LOG = LoggerFactory.getLogger(SupervisedReactor.class);

    /** Descriptors that a generation takes: two selectors, and a socket for each address. */
    private static final int DESCRIPTORS_OF_A_GENERATION = 8;

    /** Generations that may still have connections when a new one is opened. */
    private static final int MAX_RETIRED = 4;

    private static final long MIN_REOPEN_PAUSE_MS = 50;
    private static final long MAX_REOPEN_PAUSE_MS = 1_000;

    private final String name;
    private final IOReactorConfig config;
    private final IOEventHandlerFactory handlers;
    private final AcceptPolicy policy;
    private final OpenDescriptors descriptors;
    private final ReentrantLock events = new ReentrantLock();
    private final AcceptGate gate;
    private final GenerationOwner owner = new GenerationOwner();

    /** The addresses to listen on again; guarded by this object's monitor. */
    private final List<ListenAddress> addresses = new ArrayList<>();

    /** Earlier generations with open connections; guarded by this object's monitor. */
    private final ArrayDeque<ReactorGeneration> retired = new ArrayDeque<>();

    /** Written under this object's monitor. */
    private volatile ReactorGeneration current;

    /** Written under this object's monitor. */
    private volatile boolean closed;

    /**
     * Opens the selectors; {@link #start} starts the threads.
     *
     * @param name of the threads and in log lines
     * @param handlers creates the handler of each connection
     */
    public SupervisedReactor(
            String name,
            IOReactorConfig config,
            IOEventHandlerFactory handlers,
            AcceptPolicy policy,
            OpenDescriptors descriptors) {
        this.name = name;
        this.config = config;
        this.handlers = handlers;
        this.policy = policy;
        this.descriptors = descriptors;
        gate = new AcceptGate(name, policy, descriptors, this::execute);
        current = new ReactorGeneration(name, config, owner);
    }

    /** Starts the threads. */
    public void start() {
        current.start();
    }

    /**
     * Listens on an address, until this reactor is closed.
     *
     * @param attachment passed to the factory of handlers with each connection
     * @return the address, with the port that the system chose if the address had port 0
     * @throws IOException if the address cannot be used now
     */
    public InetSocketAddress listen(InetSocketAddress address, Object attachment)
            throws IOException, InterruptedException {
        InetSocketAddress bound = current.listen(new ListenAddress(address, attachment));
        synchronized (this) {
            addresses.add(new ListenAddress(bound, attachment));
        }
        return bound;
    }

    /** Connects to an address. A failure is reported to the callback, never thrown. */
    public void connect(
            InetSocketAddress remote,
            int timeoutMillis,
            Object attachment,
            FutureCallback<IOSession> callback) {
        try {
            current.reactor()
                    .connect(
                            new HttpHost(remote.getHostString(), remote.getPort()),
                            remote,
                            (SocketAddress) null,
                            Timeout.ofMilliseconds(timeoutMillis),
                            attachment,
                            callback);
        } catch (IOReactorShutdownException ended) {
            callback.failed(ended);
        }
    }

    /** Runs a step on the caller's thread that excludes all events. */
    public void execute(Runnable step) {
        events.lock();
        try {
            step.run();
        } finally {
            events.unlock();
        }
    }

    /** Closes all addresses and connections, and waits for that at most a grace in ms. */
    public void close(int graceMillis) throws InterruptedException {
        List<ReactorGeneration> all;
        synchronized (this) {
            closed = true;
            all = new ArrayList<>(retired);
            all.add(current);
        }
        for (ReactorGeneration generation : all) {
            generation.reactor().initiateShutdown();
        }
        for (ReactorGeneration generation : all) {
            generation.reactor().awaitShutdown(TimeValue.ofMilliseconds(graceMillis));
        }
    }

    private boolean isServing(ReactorGeneration generation) {
        return !closed && generation == current && generation.isActive();
    }

    private synchronized int channels(IOWorkerStats worker) {
        int ofRetired = retired.stream().mapToInt(ReactorGeneration::connections).sum();
        return worker.totalChannelCount() + worker.pendingChannelCount() + ofRetired;
    }

    /** Replaces the present generation, whose accepting thread this is, unless it is closed. */
    private void replace(ReactorGeneration ended) {
        synchronized (this) {
            if (closed || ended != current) {
                return;
            }
        }
        LOG.warn("listener ended, opening it again name={}", name);
        ended.closeListeners();
        long pauseMillis = MIN_REOPEN_PAUSE_MS;
        while (!closed && !reopen(ended)) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
            pauseMillis = Math.min(MAX_REOPEN_PAUSE_MS, 2 * pauseMillis);
        }
    }

    /** Returns whether a new generation listens now. */
    private boolean reopen(ReactorGeneration ended) {
        // An interrupt may be what has ended this thread's own task; only close() ends this one.
        Thread.interrupted();
        ReactorGeneration next = null;
        try {
            // HttpCore does not close the first selector if the second one cannot be opened.
            if (descriptors.free() < DESCRIPTORS_OF_A_GENERATION) {
                LOG.warn("listener not opened yet name={} cause=\"no free descriptors\"", name);
                execute(policy::descriptorsShort);
                return false;
            }
            next = new ReactorGeneration(name, config, owner);
            next.start();
            for (ListenAddress address : listenAddresses()) {
                next.listen(address);
            }
        } catch (IOException | RuntimeException | InterruptedException | LinkageError failure) {
            // A class that cannot be loaded without a free descriptor is a LinkageError.
            LOG.warn("listener not opened yet name={} cause=\"{}\"", name, failure.toString());
            if (next != null) {
                next.shutDown();
            }
            return false;
        }
        return install(next, ended);
    }

    private synchronized List<ListenAddress> listenAddresses() {
        return List.copyOf(addresses);
    }

    /** Makes a generation the present one, unless it has ended already or this is closed. */
    private synchronized boolean install(ReactorGeneration next, ReactorGeneration ended) {
        if (closed || next.hasListenerEnded()) {
            next.shutDown();
            return false;
        }
        gate.reset();
        current = next;
        retired.add(ended);
        if (retired.size() > MAX_RETIRED) {
            retired.remove().shutDown();
        }
        shutDownIfUnused(ended);
        LOG.info("listener opened again name={} connectionsKept={}", name, ended.connections());
        return true;
    }

    private synchronized void shutDownIfUnused(ReactorGeneration generation) {
        if (generation.connections() == 0 && retired.remove(generation)) {
            generation.shutDown();
        }
    }

    /** Connects the generations with this reactor. */
    private final class GenerationOwner implements ReactorGeneration.Owner {
        @Override
        public SerializedEventHandler newHandler(
                ReactorGeneration generation, ProtocolIOSession session, Object attachment) {
            events.lock();
            try {
                IOEventHandler handler = handlers.createHandler(session, attachment);
                return new SerializedEventHandler(handler, events, generation);
            } finally {
                events.unlock();
            }
        }

        @Override
        public void accepted(ReactorGeneration generation, IOWorkerStats worker) {
            gate.awaitNextAccept(() -> isServing(generation), () -> channels(worker));
        }

        @Override
        public void listenerEnded(ReactorGeneration generation) {
            replace(generation);
        }

        @Override
        public void lastDisconnected(ReactorGeneration generation) {
            shutDownIfUnused(generation);
        }
    }
}
