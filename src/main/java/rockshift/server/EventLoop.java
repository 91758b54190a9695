package rockshift.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.model.ControlScope;
import rockshift.model.Endpoint;
import rockshift.planner.Planner;
import rockshift.settings.PlannerSettings;
import rockshift.settings.SettingOverrides;

/**
 * The one thread that owns the module, and the one queue through which all else reaches it. A turn
 * takes in what is queued, pulls decisions until there is none, and sends what they ordered. It
 * must never wait for a socket, and nothing that one input does wrong may end it.
 */
final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /**
     * Entries of about 100 bytes that may wait before who has many must stop: a long pause brings
     * less.
     */
    static final int MOST_WAITING = 20_000;

    /**
     * Entries of one party that may wait then: those of all parties stay under a third of the heap.
     */
    private static final int FAIR_SHARE = 200;

    /** Tenths of a ms that the thread waits at most for something to do. */
    private static final long LONGEST_PAUSE = 10_000;

    private static final long NANOS_PER_TENTH = 100_000;
    static final int TENTHS_PER_MILLI = 10;

    private final LinkedBlockingQueue<LongConsumer> queue = new LinkedBlockingQueue<>();
    private final long startedAt = System.currentTimeMillis() * TENTHS_PER_MILLI;
    private final long startedNanos = System.nanoTime();
    private final Planner logic;
    private final PublishedTables tables;

    /** Tenths of a ms between two turns: what is told at start. */
    private final long spacing;

    /** Who else hears of the list, on the thread that brings it. */
    volatile Consumer<DiscoveryClient.Listing> listing = list -> {};

    private final List<LongConsumer> inputs = new ArrayList<>();
    private long wakeAt = Long.MAX_VALUE;
    private volatile boolean closed;

    EventLoop(long seed, PlannerSettings settings) {
        logic = new Planner(now(), seed, settings);
        tables = new PublishedTables(settings.classNames(), delay -> wakeAt = now() + delay);
        spacing = settings.turnSpacingTicks();
    }

    /**
     * The module's clock: monotonic, and at Unix time as the process starts, so that starts fit in.
     */
    long now() {
        return startedAt + (System.nanoTime() - startedNanos) / NANOS_PER_TENTH;
    }

    /** Queues what a party told; false where too much waits and too much of that is the party's. */
    private boolean offer(AtomicInteger queued, LongConsumer input) {
        if (queue.size() >= MOST_WAITING && queued.get() >= FAIR_SHARE) {
            return false;
        }
        queued.incrementAndGet();
        return queue.add(
                now -> {
                    queued.decrementAndGet();
                    input.accept(now);
                });
    }

    boolean joined(
            AtomicInteger queued,
            int proxy,
            String zone,
            double usualRate,
            PublishedTables.Stream stream) {
        return offer(
                queued,
                now -> {
                    tables.joined(proxy, stream);
                    logic.proxyJoined(now, proxy, zone, usualRate);
                });
    }

    /** An end is never refused; a stream that was replaced takes nobody with it. */
    void left(int proxy, PublishedTables.Stream stream) {
        queue.add(
                now -> {
                    if (tables.current(proxy, stream)) {
                        tables.left(proxy);
                        logic.proxyLeft(now, proxy);
                    }
                });
    }

    boolean applied(AtomicInteger queued, int proxy, int serial, PublishedTables.Stream stream) {
        return offer(
                queued,
                now -> {
                    if (tables.current(proxy, stream)) {
                        logic.proxyAcknowledged(now, proxy, serial);
                    }
                });
    }

    boolean heard(
            AtomicInteger queued,
            String zone,
            long replica,
            int count,
            int failed,
            long took,
            long span,
            Double busy) {
        return offer(
                queued,
                now -> logic.recordLoadReport(now, zone, replica, count, failed, took, span, busy));
    }

    boolean usage(AtomicInteger queued, int proxy, String type, int count, long span) {
        return offer(queued, now -> logic.recordUsage(now, proxy, type, count, span));
    }

    /** What staff agreed is never refused: it comes as it changes, whole. */
    void agreed(long version, Map<Long, Long> out, SettingOverrides overrides, Runnable inForce) {
        queue.add(
                now -> {
                    tables.agreed();
                    logic.applyAgreedChanges(now, version, out, overrides);
                    inForce.run();
                });
    }

    void reach(ControlScope reach) {
        queue.add(now -> logic.setControlScope(now, reach));
    }

    /** A list is never refused: it comes one at a time. */
    void listed(List<Endpoint> entries, boolean changes, Map<Long, String> names) {
        listing.accept(new DiscoveryClient.Listing(0, !changes, entries, names));
        queue.add(
                now -> {
                    tables.listed(entries, changes, names);
                    logic.updateEndpoints(now, entries, changes);
                });
    }

    /**
     * Nothing more is decided than the turn in hand, whatever comes; interrupt the thread to have
     * it end at once.
     */
    void close() {
        closed = true;
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                long pause = Math.max(0, Math.min(LONGEST_PAUSE, wakeAt - now()));
                LongConsumer first = queue.poll(pause * NANOS_PER_TENTH, TimeUnit.NANOSECONDS);
                if (first != null) {
                    inputs.add(first);
                }
                if (!closed) {
                    long rest = turn() + spacing - now();
                    TimeUnit.NANOSECONDS.sleep(Math.max(0, rest) * NANOS_PER_TENTH);
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes in what is queued, decides and sends; answers when it began. */
    long turn() {
        queue.drainTo(inputs);
        long now = now();
        inputs.forEach(input -> guarded(() -> input.accept(now)));
        inputs.clear();
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            guarded(() -> logic.timerFired(now));
        }
        guarded(this::decide);
        return now;
    }

    private void decide() {
        try {
            while (logic.decideNext(tables)) {
                continue;
            }
        } finally {
            tables.flush();
        }
    }

    private static void guarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException failure) {
            LOG.error("failure in the module", failure);
        }
    }
}
