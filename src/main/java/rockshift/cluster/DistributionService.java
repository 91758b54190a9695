package rockshift.cluster;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.distribution.ConfigurationStore;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.Publisher;
import rockshift.distribution.RejectionException;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Summary;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionSettings;
import rockshift.distribution.wire.DownstreamConnections;
import rockshift.raft.Message;
import rockshift.raft.RaftNode;

/**
 * Publishes the agreed state to the relays and controllers that subscribe to a member, on its own
 * thread, so that the consensus protocol never waits for subscribers.
 *
 * <p>Only the publisher's thread uses the publisher and its store. The member's thread passes in
 * the agreed state, and the reactor's thread passes in the subscribers' messages; both queue steps
 * for the publisher's thread.
 */
final class DistributionService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionService.class);

    /**
     * The maximum number of changes queued for publishing. Beyond it, the whole state is queued
     * once no more changes are waiting.
     */
    private static final int MAX_PENDING_CHANGES = 10_000;

    /** The interval between ticks of the publisher while there are connections. */
    private static final long TICK_MS = 50;

    /** The interval between ticks of the publisher without connections. */
    private static final long IDLE_TICK_MS = 1_000;

    /** How long {@link #close} waits for the thread to end. */
    private static final long STOP_TIMEOUT_MS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DownstreamConnections downstream;
    // Used only by the publisher's thread.
    private final ConfigurationStore store;
    private final Publisher publisher;
    private boolean storeChanged;

    /**
     * Bounded by {@link #downstream} for subscribers' messages, and by {@link #pendingChanges} for
     * changes.
     */
    private final LinkedBlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();

    private final AtomicInteger pendingChanges = new AtomicInteger();
    private final Thread thread = new Thread(this::run, "distribution");

    /** Tells the publisher's thread to end. */
    private volatile boolean closed;

    /**
     * Publishes from the member's thread the time in ms up to which the queued state is the newest.
     */
    private volatile long freshAtMillis = Long.MIN_VALUE;

    /** Publishes the state of publishing from the publisher's thread, for the member's status. */
    private volatile PublishingStatus publishingStatus =
            new PublishingStatus(0, 0, new Summary(0, 0, 0, 0, 0));

    // Used only by the member's thread.
    private final Freshness freshness;
    private final Map<String, Item> queuedItems = new HashMap<>();
    private Revision queuedRevision = Revision.NONE;
    private boolean wholeStateDue;

    /**
     * The state of publishing.
     *
     * @param connections the open connections, including those of relays
     * @param revision the number of the published revision
     * @param summary the state in force at the subscribers and below them
     */
    record PublishingStatus(int connections, long revision, Summary summary) {}

    /**
     * Creates a service without state.
     *
     * @param subscribers the maximum number of connections served
     * @param electionTimeoutTicks the member's election timeout, in ticks of 100 us
     */
    DistributionService(int subscribers, long electionTimeoutTicks, RandomGenerator random) {
        Limits limits = DistributionSettings.limits(subscribers);
        freshness = new Freshness(electionTimeoutTicks);
        downstream = new DownstreamConnections(subscribers, this::execute);
        store = new ConfigurationStore(limits.sizes());
        publisher = new Publisher(store, Scope.all(), limits, random, downstream);
        downstream.serve(publisher);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    DownstreamConnections downstream() {
        return downstream;
    }

    PublishingStatus publishingStatus() {
        return publishingStatus;
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** Called for each message from another member. */
    void messageReceived(Message message, RaftNode raft) {
        freshness.messageReceived(message, raft, now());
    }

    /**
     * Queues the whole agreed state if it could not be queued change by change, and updates the
     * time up to which it is fresh. Called in each iteration of the member's thread.
     */
    void refresh(long cluster, AgreedState agreed, RaftNode raft) {
        if (cluster != queuedRevision.cluster() || wholeStateDue && pendingChanges.get() == 0) {
            restored(cluster, agreed);
        }
        freshAtMillis = freshness.freshAt(raft, now());
    }

    /**
     * Returns whether all that was committed at some time since the start is applied here. Called
     * by the member's thread.
     */
    boolean hasBeenFresh() {
        return freshAtMillis != Long.MIN_VALUE;
    }

    /** Queues the whole agreed state, which may have been replaced. */
    void restored(long cluster, AgreedState agreed) {
        if (cluster == 0) {
            return;
        }
        wholeStateDue = false;
        queuedItems.clear();
        List<Item> items = AgreedItems.all(agreed);
        items.forEach(item -> queuedItems.put(item.key(), item));
        Revision revision = new Revision(cluster, agreed.version());
        queuedRevision = revision;
        enqueue(() -> store.reset(revision, items));
    }

    /** Queues a change that was applied; does nothing if the agreed state refused it. */
    void applied(long cluster, AgreedState agreed, byte[] body) {
        if (cluster != queuedRevision.cluster() || agreed.version() == queuedRevision.number()) {
            return;
        }
        Revision revision = new Revision(cluster, agreed.version());
        queuedRevision = revision;
        List<Update> updates = List.of(update(revision, body));
        if (pendingChanges.get() >= MAX_PENDING_CHANGES) {
            wholeStateDue = true;
        }
        if (!wholeStateDue) {
            enqueue(() -> store.apply(revision, updates));
        }
    }

    private Update update(Revision revision, byte[] body) {
        try {
            Change change = Change.read(body);
            if (change.kind() == Change.Kind.BACK) {
                return Update.delete(
                        revision.number(), queuedItems.remove(AgreedItems.key(change)));
            }
            Item item = AgreedItems.item(change);
            queuedItems.put(item.key(), item);
            return Update.put(revision.number(), item);
        } catch (IOException impossible) {
            throw new IllegalStateException("an applied change cannot be decoded", impossible);
        }
    }

    private interface StoreStep {
        void run() throws RejectionException;
    }

    private void enqueue(StoreStep step) {
        pendingChanges.incrementAndGet();
        steps.add(
                () -> {
                    pendingChanges.decrementAndGet();
                    try {
                        step.run();
                        storeChanged = true;
                    } catch (RejectionException refused) {
                        LOG.error(
                                "agreed change not published reason={} detail=\"{}\"",
                                refused.reason().code(),
                                refused.detail());
                    }
                });
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        while (!closed) {
            try {
                Runnable first =
                        steps.poll(
                                publisher.connections() > 0 ? TICK_MS : IDLE_TICK_MS,
                                TimeUnit.MILLISECONDS);
                // Read before the queue, which then contains all changes agreed up to this time.
                long currentFreshAtMillis = freshAtMillis;
                if (first != null) {
                    batch.add(first);
                    steps.drainTo(batch);
                    batch.forEach(this::runLoggingFailure);
                    batch.clear();
                }
                runLoggingFailure(() -> publish(currentFreshAtMillis));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /**
     * Notifies subscribers of changes to the store; must follow a change before any other use of
     * the publisher.
     */
    private void flush() {
        if (storeChanged) {
            storeChanged = false;
            publisher.storeChanged(now());
        }
    }

    private void publish(long currentFreshAtMillis) {
        flush();
        if (currentFreshAtMillis != Long.MIN_VALUE) {
            publisher.storeFreshAt(currentFreshAtMillis);
        }
        publisher.tick(now());
        publishingStatus =
                new PublishingStatus(
                        publisher.connections(), store.current().number(), publisher.summary());
    }

    private void runLoggingFailure(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.error("distribution step failed", failure);
        }
    }

    private void execute(Runnable step) {
        steps.add(
                () -> {
                    flush();
                    step.run();
                });
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        thread.join(STOP_TIMEOUT_MS);
    }
}
