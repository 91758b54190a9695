package rockshift.capacity;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.HdrHistogram.Histogram;
import rockshift.distribution.Item;
import rockshift.distribution.Limits;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;
import rockshift.distribution.wire.DistributionClient;
import rockshift.distribution.wire.DistributionListener;
import rockshift.distribution.wire.DistributionReactor;

/**
 * A controller without a planner. It uses the subscription client of a real controller, with its
 * own name, socket and scope. All received state is in force at once and passed to the checker.
 * Methods may be called from any thread; state arrives on the threads of its reactor.
 */
final class LightweightController implements DistributionListener, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String name;
    private final Scope scope;
    private final List<InetSocketAddress> upstreams;
    private final DistributionReactor reactor;
    private final ScaleChecker checker;

    /** Returns the shared instance of equal items. */
    private final UnaryOperator<Item> itemInterner;

    private final SplittableRandom random;
    private DistributionClient client;

    private long startedAtMillis;

    /**
     * Records the time until the first snapshot; null after that. Volatile, as it publishes itself
     * and {@link #startedAtMillis} to the reactor's thread that receives the snapshot.
     */
    private volatile Histogram startTimes;

    LightweightController(
            String name,
            Scope scope,
            List<InetSocketAddress> upstreams,
            DistributionReactor reactor,
            ScaleChecker checker,
            UnaryOperator<Item> itemInterner,
            long seed) {
        this.name = name;
        this.scope = scope;
        this.upstreams = upstreams;
        this.reactor = reactor;
        this.checker = checker;
        this.itemInterner = itemInterner;
        random = new SplittableRandom(seed);
    }

    /** The time on the run's monotonic clock. */
    static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    String name() {
        return name;
    }

    /** Starts without a state, and records the time in ms until the first snapshot is in force. */
    synchronized void start(Histogram times) {
        startedAtMillis = nowMillis();
        startTimes = times;
        checker.observe(new Observation.Started(startedAtMillis, name, scope));
        client =
                new DistributionClient(
                        reactor, name, upstreams, scope, Limits.standard(), random.split(), this);
        client.start();
    }

    /** Ends like a killed process: its connection closes without a message. */
    synchronized void kill() {
        client.close();
        checker.observe(new Observation.Ended(nowMillis(), name));
    }

    synchronized boolean hasState() {
        return !client.revision().isNone();
    }

    /** Passes the state's age, as the client reports it, to the checker. */
    synchronized void reportAge() {
        if (hasState()) {
            long at = nowMillis();
            checker.observe(new Observation.AgeReported(at, name, client.ageMillis()));
        }
    }

    @Override
    public void snapshot(Revision revision, List<Item> items, Runnable inForce) {
        Histogram times = startTimes;
        if (times != null) {
            times.recordValue(nowMillis() - startedAtMillis);
            startTimes = null;
        }
        checker.observe(
                new Observation.SnapshotTaken(
                        nowMillis(), name, revision, items.stream().map(itemInterner).toList()));
        inForce.run();
    }

    @Override
    public void difference(Revision revision, List<Update> updates, Runnable inForce) {
        checker.observe(new Observation.DifferenceTaken(nowMillis(), name, revision, updates));
        inForce.run();
    }

    @Override
    public void advanced(Revision revision) {
        checker.observe(new Observation.Advanced(nowMillis(), name, revision));
    }

    @Override
    public synchronized void close() {
        if (client != null) {
            client.close();
        }
    }
}
