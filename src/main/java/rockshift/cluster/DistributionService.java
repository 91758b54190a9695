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
 * Publishes the agreed state to the relays and controllers that subscribe at a member, on a thread
 * of its own, so that the cluster's protocol waits for none of it.
 *
 * <p>It owns that thread, which alone uses the publisher and its store. The member's thread hands
 * in what is agreed; subscribers' messages come from the reactor's thread. Both queue steps.
 */
final class DistributionService implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(DistributionService.class);

    /**
     * Changes that may wait to be published; beyond them the whole state is handed over once there
     * is room.
     */
    private static final int MAX_PENDING_CHANGES = 10_000;

    /** Ms between two looks at what is due, with subscribers and without. */
    private static final long TICK_MS = 50;

    private static final long IDLE_TICK_MS = 1_000;

    /** How long the thread may take to end. */
    private static final long STOP_TIMEOUT_MS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final DownstreamConnections port;
    // Used by the publisher's thread alone.
    private final ConfigurationStore store;
    private final Publisher publisher;
    private boolean changed;

    /** Steps of the port are bounded there, changes of the member by {@link #pendingChanges}. */
    private final LinkedBlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();

    private final AtomicInteger pendingChanges = new AtomicInteger();
    private final Thread thread = new Thread(this::work, "distribution");

    /** Publishes to the publisher's thread that it is to end. */
    private volatile boolean closed;

    /** Publishes from the member's thread up to when what was handed over is the newest. */
    private volatile long freshAt = Long.MIN_VALUE;

    /** Publishes from the publisher's thread how publishing stands, for the status. */
    private volatile PublishingStatus publishingStatus =
            new PublishingStatus(0, 0, new Summary(0, 0, 0, 0, 0));

    // Used by the member's thread alone.
    private final Freshness freshness;
    private final Map<String, Item> handedOver = new HashMap<>();
    private Revision handedOverAt = Revision.NONE;
    private boolean resendWhole;

    /**
     * How publishing stands.
     *
     * @param connections open, those of relays included
     * @param revision the number of what is published
     * @param summary what is in force below
     */
    record PublishingStatus(int connections, long revision, Summary summary) {}

    /**
     * A service that holds nothing yet.
     *
     * @param subscribers connections that are served at most
     * @param election of the member, in tenths of a ms
     */
    DistributionService(int subscribers, long election, RandomGenerator random) {
        Limits limits = DistributionSettings.limits(subscribers);
        freshness = new Freshness(election);
        port = new DownstreamConnections(subscribers, this::execute);
        store = new ConfigurationStore(limits.sizes());
        publisher = new Publisher(store, Scope.all(), limits, random, port);
        port.serve(publisher);
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    DownstreamConnections port() {
        return port;
    }

    PublishingStatus publishingStatus() {
        return publishingStatus;
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /** A message of another member has come. */
    void messageReceived(Message message, RaftNode raft) {
        freshness.messageReceived(message, raft, now());
    }

    /**
     * To be called again and again: hands over all that is agreed where that could not be done
     * change by change, and notes up to when it is fresh.
     */
    void handOverAndNoteFreshness(long cluster, AgreedState agreed, RaftNode raft) {
        if (cluster != handedOverAt.cluster() || resendWhole && pendingChanges.get() == 0) {
            restored(cluster, agreed);
        }
        freshAt = freshness.freshAt(raft, now());
    }

    /** All that is agreed may be another. */
    void restored(long cluster, AgreedState agreed) {
        if (cluster == 0) {
            return;
        }
        resendWhole = false;
        handedOver.clear();
        List<Item> items = AgreedItems.all(agreed);
        items.forEach(item -> handedOver.put(item.key(), item));
        Revision revision = new Revision(cluster, agreed.version());
        handedOverAt = revision;
        handOver(() -> store.reset(revision, items));
    }

    /** A change was applied; it may have been refused there. */
    void applied(long cluster, AgreedState agreed, byte[] body) {
        if (cluster != handedOverAt.cluster() || agreed.version() == handedOverAt.number()) {
            return;
        }
        Revision revision = new Revision(cluster, agreed.version());
        handedOverAt = revision;
        List<Update> updates = List.of(update(revision, body));
        if (pendingChanges.get() >= MAX_PENDING_CHANGES) {
            resendWhole = true;
        }
        if (!resendWhole) {
            handOver(() -> store.apply(revision, updates));
        }
    }

    private Update update(Revision revision, byte[] body) {
        try {
            Change change = Change.read(body);
            if (change.kind() == Change.Kind.BACK) {
                return Update.delete(revision.number(), handedOver.remove(AgreedItems.key(change)));
            }
            Item item = AgreedItems.item(change);
            handedOver.put(item.key(), item);
            return Update.put(revision.number(), item);
        } catch (IOException impossible) {
            throw new IllegalStateException("an applied change cannot be decoded", impossible);
        }
    }

    private interface StoreStep {
        void run() throws RejectionException;
    }

    private void handOver(StoreStep step) {
        pendingChanges.incrementAndGet();
        steps.add(
                () -> {
                    pendingChanges.decrementAndGet();
                    try {
                        step.run();
                        changed = true;
                    } catch (RejectionException refused) {
                        LOG.error(
                                "agreed change not published reason={} detail=\"{}\"",
                                refused.reason().code(),
                                refused.detail());
                    }
                });
    }

    private void work() {
        List<Runnable> batch = new ArrayList<>();
        while (!closed) {
            try {
                Runnable first =
                        steps.poll(
                                publisher.connections() > 0 ? TICK_MS : IDLE_TICK_MS,
                                TimeUnit.MILLISECONDS);
                // Read before the queue: what was agreed by then is in the queue.
                long fresh = freshAt;
                if (first != null) {
                    batch.add(first);
                    steps.drainTo(batch);
                    batch.forEach(this::guarded);
                    batch.clear();
                }
                guarded(() -> publish(fresh));
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    /** Has subscribers told of what changed; nothing else may come between a change and this. */
    private void flush() {
        if (changed) {
            changed = false;
            publisher.published(now());
        }
    }

    private void publish(long fresh) {
        flush();
        if (fresh != Long.MIN_VALUE) {
            publisher.freshAt(fresh);
        }
        publisher.tick(now());
        publishingStatus =
                new PublishingStatus(
                        publisher.connections(), store.current().number(), publisher.summary());
    }

    private void guarded(Runnable step) {
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
