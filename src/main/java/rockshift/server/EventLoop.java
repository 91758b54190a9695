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
import rockshift.planner.Planner;
import rockshift.settings.PlannerSettings;

/**
 * The thread that owns the planner, and the queue through which everything else reaches it. A turn
 * applies the queued events, asks the planner for decisions until there are none, and sends what
 * they ordered.
 *
 * <p>{@link #offer}, {@link #submit}, {@link #now} and {@link #close} may be called by any thread;
 * all else belongs to the thread that runs the loop. The loop waits for no socket, and no failure
 * of one event ends it.
 */
final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /**
     * Queued events, of some 100 bytes each, from which on the connection of a peer that has many
     * of them is closed. What comes in during a long pause of the process does not reach this.
     */
    static final int QUEUE_CAPACITY = 20_000;

    /**
     * Events that each peer may have in a full queue; those of all peers together stay under a
     * third of the heap.
     */
    private static final int PER_PEER_QUEUE_QUOTA = 200;

    /** How long the thread waits at most for an event. */
    private static final long MAX_WAIT_TICKS = Ticks.TICKS_PER_SECOND;

    /**
     * An event in the queue.
     *
     * @param pending the counter of its peer's queued events, or null for events that are not a
     *     peer's
     */
    private record QueuedEvent(PlannerEvent event, AtomicInteger pending) {}

    /** Bounded by {@link #offer}; what {@link #submit} adds is bounded by its callers. */
    private final LinkedBlockingQueue<QueuedEvent> queue = new LinkedBlockingQueue<>();

    private final long startedTicks = System.currentTimeMillis() * Ticks.TICKS_PER_MILLI;
    private final long startedNanos = System.nanoTime();
    private final Planner planner;
    private final PublishedTables tables;

    /** The least time between the starts of two turns. */
    private final long turnSpacingTicks;

    private final List<QueuedEvent> inputs = new ArrayList<>();
    private long wakeAtTicks = Long.MAX_VALUE;

    /** Publishes the listener to the threads that bring lists of replicas. */
    private volatile Consumer<EndpointList> endpointListener = list -> {};

    /** Publishes to the loop's thread that no further turn may begin. */
    private volatile boolean closed;

    EventLoop(long seed, PlannerSettings settings) {
        planner = new Planner(now(), seed, settings);
        tables = new PublishedTables(settings.classNames(), delay -> wakeAtTicks = now() + delay);
        turnSpacingTicks = settings.turnSpacingTicks();
    }

    /** The planner's clock, in ticks: monotonic, and Unix time as the process starts. */
    long now() {
        return startedTicks + (System.nanoTime() - startedNanos) / Ticks.NANOS_PER_TICK;
    }

    /** Sets who else is handed each list of replicas, on the thread that brings it. */
    void setEndpointListener(Consumer<EndpointList> listener) {
        endpointListener = listener;
    }

    /**
     * Queues a peer's event. The bound guards against one peer that floods the controller while the
     * planner stands still: its connection alone is closed, with {@code reason=overload}.
     *
     * @param pending the peer's count of events that are queued, kept by this loop
     * @return false where the queue is full and the peer has used its quota
     */
    boolean offer(AtomicInteger pending, PlannerEvent event) {
        if (queue.size() >= QUEUE_CAPACITY && pending.get() >= PER_PEER_QUEUE_QUOTA) {
            return false;
        }
        pending.incrementAndGet();
        return queue.add(new QueuedEvent(event, pending));
    }

    /** Queues an event that is never refused: its kind comes seldom, or once a connection. */
    void submit(PlannerEvent event) {
        queue.add(new QueuedEvent(event, null));
    }

    /** Queues a list of replicas, after handing it to the listener. */
    void submitEndpoints(EndpointList list) {
        endpointListener.accept(list);
        submit(new PlannerEvent.EndpointsListed(list));
    }

    /**
     * Lets the turn in hand be the last. A thread that waits is not woken; interrupt it to have it
     * end at once.
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
     * Applies what is queued, decides and sends.
     *
     * @return when the turn began, in ticks
     */
    long turn() {
        queue.drainTo(inputs);
        long now = now();
        inputs.forEach(input -> guarded(() -> apply(now, input)));
        inputs.clear();
        if (now >= wakeAtTicks) {
            wakeAtTicks = Long.MAX_VALUE;
            guarded(() -> planner.timerFired(now));
        }
        guarded(this::decide);
        return now;
    }

    private void apply(long now, QueuedEvent input) {
        if (input.pending != null) {
            input.pending.decrementAndGet();
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

    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.error("planner step failed", failure);
        }
    }
}
