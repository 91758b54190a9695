package rockshift.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A governor on sockets, put together from its parts: the configuration, the module's thread, the
 * client of discovery and the streams. It owns their start and their end, in whatever order these
 * are asked for, and what a reload changes. It must never take part in what the parts do, and no
 * file may end what serves.
 */
public final class ControllerServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    /** Exit statuses: a file that can't be used, and all else that keeps it from serving. */
    private static final int INVALID_USAGE = 2;

    private static final int FAILED = 1;

    /**
     * Ms between two looks at a file that nobody can be told of: a drain's grace is longer, and a
     * look costs nothing.
     */
    private static final long LOOK = 1_000;

    private final ControllerConfiguration configuration;
    private final EventLoop loop;
    private final Thread thread;
    private final DiscoveryClient discovery;
    private final ProxyConnections streams;
    private final AgreedChangesSource source;
    private final AgreedChangesReceiver receiver;
    private final Object reloading = new Object();
    private int port;

    /** Whether it ends or has ended: nothing is begun any more. */
    private boolean closed;

    ControllerServer(ControllerConfiguration configuration) {
        this(configuration, null);
    }

    ControllerServer(ControllerConfiguration configuration, AgreedChangesSource source) {
        this.configuration = configuration;
        this.source = source;
        loop = new EventLoop(configuration.seed(), configuration.settings());
        receiver = source == null ? null : new AgreedChangesReceiver(loop);
        DiscoveryClient.take(configuration.known(), loop);
        thread = new Thread(loop, "event-loop");
        discovery = new DiscoveryClient(configuration.discovery(), loop);
        streams = new ProxyConnections(loop, configuration.settings(), configuration.descriptors());
    }

    void start() throws IOException, InterruptedException {
        if (source != null) {
            source.begin(receiver);
        }
        synchronized (this) {
            if (closed) {
                return;
            }
            try {
                port = streams.listen(configuration.listen());
            } catch (IOException failure) {
                streams.close();
                throw new IOException(
                        "cannot listen on " + configuration.listen() + ": " + failure.getMessage(),
                        failure);
            }
            thread.start();
            discovery.start();
        }
        LOG.info(
                "{} serves on {}, port {}",
                configuration.name(),
                configuration.listen().getHostString(),
                port);
        if (streams.beyond() > 0) {
            LOG.warn(
                    "limits.sockets {}: {} of the proxies told could not all join here",
                    configuration.descriptors(),
                    streams.beyond());
        }
        configuration.beyondChannel().forEach(LOG::warn);
    }

    int port() {
        return port;
    }

    /**
     * Takes in what may change while serving: where discovery is. What was read at the start and
     * can't change is named and left, and a file that can't be used changes nothing. No stream
     * notices any of it.
     */
    void reload(String file) {
        // One after the other, so that the file that was written last counts; a file that is slow
        // to read
        // holds up nobody else.
        synchronized (reloading) {
            try {
                ControllerConfiguration anew = ControllerConfiguration.read(file);
                synchronized (this) {
                    if (closed) {
                        return;
                    }
                    String fixed = configuration.fixed(anew);
                    LOG.info(
                            "{} read again, discovery at {}:{}{}",
                            file,
                            anew.discovery().getHostString(),
                            anew.discovery().getPort(),
                            fixed.isEmpty() ? "" : "; takes a restart: " + fixed);
                    discovery.follow(anew.discovery());
                }
            } catch (ControllerConfiguration.InvalidFileException wrong) {
                LOG.warn("{}; the file before stays in force", wrong.getMessage());
            }
        }
    }

    /**
     * Ends the parts, and waits for none but, for a moment, the sockets. The module comes first: it
     * would take the ends of streams that are ended here for proxies that left, and tell the others
     * so.
     */
    @Override
    public void close() throws InterruptedException {
        loop.close();
        synchronized (this) {
            closed = true;
            thread.interrupt();
            discovery.close();
            streams.close();
        }
        if (source != null) {
            source.end();
        }
    }

    /** Tells signals how what they ask for is done. */
    private ProcessSignals.Listener listener(String file) {
        return new ProcessSignals.Listener() {
            @Override
            public void reload() {
                ControllerServer.this.reload(file);
            }

            @Override
            public void stop() throws InterruptedException {
                LOG.info("{} stops", configuration.name());
                close();
            }
        };
    }

    /**
     * Serves until the process is told to end; answers an exit status where it can't begin or go
     * on. A source is what runs beside it, or null.
     */
    public static int run(
            Map<String, String> environment, ProcessSignals signals, AgreedChangesSource source)
            throws InterruptedException {
        String file = environment.get("RELAY_CONFIG");
        String seen = stamp(file);
        ControllerServer serve;
        try {
            serve = new ControllerServer(ControllerConfiguration.read(file), source);
            serve.start();
        } catch (ControllerConfiguration.InvalidFileException wrong) {
            System.err.println(wrong.getMessage());
            return INVALID_USAGE;
        } catch (IOException failure) {
            System.err.println(failure.getMessage());
            return FAILED;
        }
        signals.tell(serve.listener(file));
        if (signals.hangupIgnored()) {
            serve.watch(file, seen);
        }
        serve.thread.join();
        return FAILED;
    }

    /**
     * Where whoever started the process has SIGHUP ignored, a Java process can't hear of it, and
     * the file is looked at instead: one that is another than was seen before is read.
     */
    private void watch(String file, String before) throws InterruptedException {
        LOG.warn(
                "SIGHUP is ignored by whoever started this process: {} is looked at every second"
                        + " instead",
                file);
        for (String seen = before; thread.isAlive(); thread.join(LOOK)) {
            String now = stamp(file);
            if (!now.equals(seen)) {
                seen = now;
                reload(file);
            }
        }
    }

    /** Which file it is and when it was written, or why that can't be told. */
    private static String stamp(String file) {
        try {
            BasicFileAttributes now =
                    Files.readAttributes(
                            Path.of(file == null ? "" : file), BasicFileAttributes.class);
            return now.fileKey() + " " + now.lastModifiedTime() + " " + now.size();
        } catch (IOException failure) {
            return failure.toString();
        }
    }
}
