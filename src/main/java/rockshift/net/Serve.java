package rockshift.net;

import java.io.IOException;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * A governor on sockets, put together from its parts: the charter, the module's thread, the roster and the
 * streams. It owns their start and their end, and the signals that the process gets: SIGTERM ends it, SIGHUP has
 * the file read again. It must never take part in what the parts do, and no file may end what serves.
 */
public final class Serve implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    /** Exit statuses: a file that can't be used, and all else that keeps it from serving. */
    private static final int UNUSABLE = 2;
    private static final int FAILED = 1;

    private final Charter charter;
    private final Thread turning;
    private final Roster roster;
    private final Streams streams;
    private final Companion companion;
    private final Inlet inlet;
    private int port;

    Serve(Charter charter) {
        this(charter, null);
    }

    Serve(Charter charter, Companion companion) {
        this.charter = charter;
        this.companion = companion;
        Turns turns = new Turns(charter.seed(), charter.terms());
        inlet = companion == null ? null : new Inlet(turns);
        Roster.take(charter.known(), turns);
        turning = new Thread(turns, "turns");
        roster = new Roster(charter.discovery(), turns);
        streams = new Streams(turns, charter.terms(), charter.descriptors());
    }

    void start() throws IOException, InterruptedException {
        if (companion != null) {
            companion.begin(inlet);
        }
        try {
            port = streams.listen(charter.listen());
        } catch (IOException failure) {
            streams.close();
            throw new IOException("cannot listen on " + charter.listen() + ": " + failure.getMessage(), failure);
        }
        turning.start();
        roster.start();
        LOG.info("{} serves on {}, port {}", charter.name(), charter.listen().getHostString(), port);
        if (streams.beyond() > 0) {
            LOG.warn("limits.sockets {}: {} of the proxies told could not all join here", charter.descriptors(),
                    streams.beyond());
        }
        charter.beyondChannel().forEach(LOG::warn);
    }

    int port() {
        return port;
    }

    /**
     * Takes in what may change while serving: where discovery is. What was read at the start and can't change
     * is named and left, and a file that can't be used changes nothing. No stream notices any of it.
     */
    synchronized void reload(String file) {
        try {
            Charter anew = Charter.read(file);
            String fixed = charter.fixed(anew);
            LOG.info("{} read again, discovery at {}:{}{}", file, anew.discovery().getHostString(),
                    anew.discovery().getPort(), fixed.isEmpty() ? "" : "; takes a restart: " + fixed);
            roster.follow(anew.discovery());
        } catch (Charter.Unusable wrong) {
            LOG.warn("{}; the file before stays in force", wrong.getMessage());
        }
    }

    @Override
    public void close() throws InterruptedException {
        if (companion != null) {
            companion.end();
        }
        roster.close();
        streams.close();
        turning.interrupt();
    }

    /** What happens once the process is told to end: nothing is left to wait for. */
    private static void stop(Serve serve) {
        try {
            LOG.info("{} stops", serve.charter.name());
            serve.close();
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }

    /** Serves until the process is told to end; answers an exit status where it can't begin or go on. */
    public static int run(Map<String, String> environment) throws InterruptedException {
        return run(environment, null);
    }

    /** The same with a companion, or null for none. */
    public static int run(Map<String, String> environment, Companion companion) throws InterruptedException {
        String file = environment.get("RELAY_CONFIG");
        Charter charter;
        try {
            charter = Charter.read(file);
        } catch (Charter.Unusable wrong) {
            System.err.println(wrong.getMessage());
            return UNUSABLE;
        }
        Serve serve;
        try {
            serve = new Serve(charter, companion);
            // Before it listens: the signal's usual effect would end the process.
            Signal.handle(new Signal("HUP"), signal -> serve.reload(file));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serve), "stop"));
            serve.start();
        } catch (NumberFormatException wrong) {
            System.err.println(file + ": field settings: " + wrong.getMessage());
            return UNUSABLE;
        } catch (IOException failure) {
            System.err.println(failure.getMessage());
            return FAILED;
        }
        serve.turning.join();
        return FAILED;
    }
}
