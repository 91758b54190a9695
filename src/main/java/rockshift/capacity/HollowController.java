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
 * A governor without a solve: the client of a real one with its own name, socket and scope. All
 * that it is told is in force at once and handed to the checker.
 */
final class HollowController implements DistributionListener, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String name;
    private final Scope scope;
    private final List<InetSocketAddress> upstreams;
    private final DistributionReactor reactor;
    private final ScaleChecker checker;

    /** Items that many hold are kept once. */
    private final UnaryOperator<Item> shared;

    private final SplittableRandom random;
    private DistributionClient client;

    /**
     * When this life began, and who wants to know how long its first snapshot took; null once that
     * is told.
     */
    private long startedAt;

    private volatile Histogram startTimes;

    HollowController(
            String name,
            Scope scope,
            List<InetSocketAddress> upstreams,
            DistributionReactor reactor,
            ScaleChecker checker,
            UnaryOperator<Item> shared,
            long seed) {
        this.name = name;
        this.scope = scope;
        this.upstreams = upstreams;
        this.reactor = reactor;
        this.checker = checker;
        this.shared = shared;
        random = new SplittableRandom(seed);
    }

    /** The clock of a run, in ms. */
    static long now() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    String name() {
        return name;
    }

    /**
     * Begins a life that holds nothing; the ms until its first snapshot is in force are recorded.
     */
    synchronized void start(Histogram times) {
        startedAt = now();
        startTimes = times;
        checker.saw(new Observation.Started(startedAt, name, scope));
        client =
                new DistributionClient(
                        reactor, name, upstreams, scope, Limits.standard(), random.split(), this);
        client.start();
    }

    /** Ends as a killed process does: nothing is said but by the end of the connection. */
    synchronized void kill() {
        client.close();
        checker.saw(new Observation.Ended(now(), name));
    }

    synchronized boolean holdsSomething() {
        return !client.revision().isNone();
    }

    /** Hands the checker how old what is held may be, as the client tells it. */
    synchronized void tellAge() {
        if (holdsSomething()) {
            long at = now();
            checker.saw(new Observation.AgeTold(at, name, client.ageMillis()));
        }
    }

    @Override
    public void snapshot(Revision revision, List<Item> items, Runnable inForce) {
        Histogram times = startTimes;
        if (times != null) {
            times.recordValue(now() - startedAt);
            startTimes = null;
        }
        checker.saw(
                new Observation.SnapshotTaken(
                        now(), name, revision, items.stream().map(shared).toList()));
        inForce.run();
    }

    @Override
    public void difference(Revision revision, List<Update> updates, Runnable inForce) {
        checker.saw(new Observation.DifferenceTaken(now(), name, revision, updates));
        inForce.run();
    }

    @Override
    public void advanced(Revision revision) {
        checker.saw(new Observation.Advanced(now(), name, revision));
    }

    @Override
    public synchronized void close() {
        if (client != null) {
            client.close();
        }
    }
}
