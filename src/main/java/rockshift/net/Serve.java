package rockshift.net;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.HttpHost;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A governor on sockets, put together from its parts: the charter, the module's thread, the roster and the
 * streams. It owns their start and their end, and must never take part in what they do.
 */
public final class Serve implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Serve.class);
    /** Exit statuses: a file that can't be used, and all else that keeps it from serving. */
    private static final int UNUSABLE = 2;
    private static final int FAILED = 1;

    private final Thread turning;
    private final Thread watching;
    private final Streams streams;
    private final int port;

    Serve(Charter charter) throws IOException, InterruptedException {
        Map<Long, String> names = new ConcurrentHashMap<>();
        Turns turns = new Turns(charter.seed(), charter.terms(), names::get);
        HttpHost discovery = new HttpHost("http", charter.discovery().getHostString(),
                charter.discovery().getPort());
        Roster.take(charter.known(), names, turns);
        turning = new Thread(turns, "turns");
        watching = new Thread(new Roster(discovery, turns, names), "roster");
        streams = new Streams(turns, charter.terms(), charter.descriptors());
        try {
            port = streams.listen(charter.listen());
        } catch (IOException failure) {
            streams.close();
            throw failure;
        }
        turning.start();
        watching.start();
        LOG.info("{} serves on {}, port {}", charter.name(), charter.listen().getHostString(), port);
    }

    int port() {
        return port;
    }

    @Override
    public void close() throws InterruptedException {
        watching.interrupt();
        streams.close();
        turning.interrupt();
    }

    /** What happens once the process is told to end: nothing is left to wait for. */
    private static void stop(Serve serve, String name) {
        try {
            LOG.info("{} stops", name);
            serve.close();
        } catch (InterruptedException hurried) {
            Thread.currentThread().interrupt();
        } finally {
            Runtime.getRuntime().halt(0);
        }
    }

    /** Serves until the process is told to end; answers an exit status where it can't begin or go on. */
    public static int run(Map<String, String> environment) throws InterruptedException {
        Charter charter;
        try {
            charter = Charter.read(environment.get("RELAY_CONFIG"));
        } catch (Charter.Unusable wrong) {
            System.err.println(wrong.getMessage());
            return UNUSABLE;
        }
        Serve serve;
        try {
            serve = new Serve(charter);
        } catch (NumberFormatException wrong) {
            System.err.println(environment.get("RELAY_CONFIG") + ": field settings: " + wrong.getMessage());
            return UNUSABLE;
        } catch (IOException failure) {
            System.err.println("cannot listen on " + charter.listen() + ": " + failure.getMessage());
            return FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(serve, charter.name()), "stop"));
        serve.turning.join();
        return FAILED;
    }
}
