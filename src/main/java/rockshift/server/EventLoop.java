package rockshift.server;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.model.Ticks;
import rockshift.net.PeerMemory;
import rockshift.planner.Planner;
import rockshift.settings.PlannerSettings;

/**
 * Runs the planner on one thread, with the queue through which all other threads reach it. A turn
 * applies the queued events, lets the planner decide until it has nothing left to decide, and sends
 * the resulting messages.
 *
 * <p>Any thread may call {@link #offer}, {@link #submit}, {@link #submitEndpoints}, {@link
 * #setEndpointListener}, {@link #now} and {@link #close}; everything else belongs to the thread
 * that runs the loop. The loop never waits for a socket, and the failure of an event does not end
 * it.
 */
final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /**
     * Number of queued events, of about 100 bytes each, from which on peers must keep to their
     * quota. The events that arrive during a long pause of the process stay below it.
     */
    static final int QUEUE_CAPACITY = 20_000;

    /**
     * Number of events that each peer may have in a full queue, or its connection is closed. Those
     * of all peers together take less than a third of the heap.
     */
    private static final int PER_PEER_QUEUE_QUOTA = 200;

    /** Maximum time that the thread waits for an event. */
    private static final long MAX_WAIT_TICKS = Ticks.TICKS_PER_SECOND;

    /**
     * An event in the queue.
     *
     * @param pending counter of the queued events of the peer that sent it, or null if no peer did
     * @param account charged for the event while it is queued, or null
     */
    private record QueuedEvent(
            PlannerEvent event, AtomicInteger pending, PeerMemory.Account account) {}

    /** What a queued event takes, with the texts in it. */
    private static final int EVENT_BYTES = 256;

    /** {@link #offer} bounds what a peer adds; the callers of {@link #submit} bound the rest. */
    private final LinkedBlockingQueue<QueuedEvent> queue = new LinkedBlockingQueue<>();

    private final long startedTicks = System.currentTimeMillis() * Ticks.TICKS_PER_MILLI;
    private final long startedNanos = System.nanoTime();
    private final Planner planner;
    private final PublishedTables tables;

    /** Minimum time between the starts of two turns. */
    private final long turnSpacingTicks;

    private final List<QueuedEvent> inputs = new ArrayList<>();
    private long wakeAtTicks = Long.MAX_VALUE;

    /** Volatile because other threads submit lists of replicas. */
    private volatile Consumer<EndpointList> endpointListener = list -> {};

    /** Signals the loop's thread not to begin another turn. */
    private volatile boolean closed;

    EventLoop(long seed, PlannerSettings settings) {
        planner = new Planner(now(), seed, settings);
        tables = new PublishedTables(settings.classNames(), delay -> wakeAtTicks = now() + delay);
        turnSpacingTicks = settings.turnSpacingTicks();
    }

    /**
     * Returns the planner's clock in ticks: Unix time when the loop is created, monotonic from then
     * on.
     */
    long now() {
        return startedTicks + (System.nanoTime() - startedNanos) / Ticks.NANOS_PER_TICK;
    }

    /** Sets a listener that also receives each list of replicas, on the thread that submits it. */
    void setEndpointListener(Consumer<EndpointList> listener) {
        endpointListener = listener;
    }

    /**
     * Queues an event of a peer. The quota protects against a peer that floods the controller while
     * the planner is stalled: only the connection of that peer is closed, with {@code
     * reason=overload}.
     *
     * @param pending counter of the peer's queued events, updated by this loop
     * @return false if the queue is full and the peer has used its quota
     */
    boolean offer(AtomicInteger pending, PlannerEvent event) {
        return offer(pending, null, event);
    }

    /** The same for an event that is charged to the account of the peer's connection. */
    boolean offer(AtomicInteger pending, PeerMemory.Account account, PlannerEvent event) {
        boolean overQuota = queue.size() >= QUEUE_CAPACITY && pending.get() >= PER_PEER_QUEUE_QUOTA;
        if (overQuota || account != null && !account.charge(EVENT_BYTES)) {
            return false;
        }
        pending.incrementAndGet();
        return queue.add(new QueuedEvent(event, pending, account));
    }

    /**
     * Queues an event that is never refused, because events of its kind are rare or come once per
     * connection.
     */
    void submit(PlannerEvent event) {
        queue.add(new QueuedEvent(event, null, null));
    }

    /** Passes a list of replicas to the listener, then queues it. */
    void submitEndpoints(EndpointList list) {
        endpointListener.accept(list);
        submit(new PlannerEvent.EndpointsListed(list));
    }

    /**
     * Makes the current turn the last one. A waiting thread is not woken; interrupt it to end it at
     * once.
     */
    void close() {
        closed = true;
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                awaitEvent();
                if (!closed) {
                    long idleTicks = turn() + turnSpacingTicks - now();
                    TimeUnit.NANOSECONDS.sleep(Math.max(0, idleTicks) * Ticks.NANOS_PER_TICK);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitEvent() throws InterruptedException {
        long waitTicks = Math.max(0, Math.min(MAX_WAIT_TICKS, wakeAtTicks - now()));
        QueuedEvent first = queue.poll(waitTicks * Ticks.NANOS_PER_TICK, TimeUnit.NANOSECONDS);
        if (first != null) {
            inputs.add(first);
        }
    }

    /**
     * Applies the queued events, lets the planner decide and sends the messages.
     *
     * @return the start of the turn, in ticks
     */
    long turn() {
        queue.drainTo(inputs);
        long now = now();
        inputs.forEach(input -> runAndLogFailure(() -> apply(now, input)));
        inputs.clear();
        if (now >= wakeAtTicks) {
            wakeAtTicks = Long.MAX_VALUE;
            runAndLogFailure(() -> planner.timerFired(now));
        }
        runAndLogFailure(this::decide);
        return now;
    }

    private void apply(long now, QueuedEvent input) {
        if (input.pending != null) {
            input.pending.decrementAndGet();
        }
        if (input.account != null) {
            input.account.release(EVENT_BYTES);
        }
        input.event.apply(now, planner, tables);
    }

    private void decide() {
        try {
            while (planner.decideNext(tables)) {
                continue;
            }
        } finally {
            tables.flush();
        }
    }

    private static void runAndLogFailure(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.error("planner step failed", failure);
        }
    }
}
