package rockshift.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import rockshift.server.InvalidMessageException;
import rockshift.server.MalformedStreamException;
import rockshift.server.RespCodec;
import rockshift.testkit.StaticDiscoveryServer;

/**
 * Simulates the proxies and collectors of one controller on one thread. Each proxy joins,
 * acknowledges its tables and reports its requests; the collector of each zone reports the load of
 * the replicas there. The reported figures are drawn from a seed; no requests are served.
 */
public final class FleetSimulator implements AutoCloseable {
    /** The interval between two reports on the same replica or by the same proxy. */
    public static final int REPORT_MILLIS = 2_000;

    private static final int ROUND_MILLIS = 50;
    private static final int ROUNDS_PER_REPORT = REPORT_MILLIS / ROUND_MILLIS;

    /** The mean number of requests that a replica answers between two reports. */
    private static final int REQUESTS_PER_REPORT = 40;

    /** The largest relative deviation of a reported figure from its mean. */
    private static final double VARIATION = 0.1;

    private static final int READ_BUFFER_BYTES = 1 << 16;

    /**
     * The maximum number of bytes that wait to be sent by one peer. Further messages are dropped
     * and counted.
     */
    private static final int MAX_UNSENT_BYTES = 1 << 18;

    /** A connection to the controller: of a proxy or, with -1 as its number, of a collector. */
    private static final class Peer {
        private final int proxy;
        private final String zone;
        private SocketChannel channel;
        private RespCodec codec;
        private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
        private int unsentBytes;
        private boolean hasTable;

        Peer(int proxy, String zone) {
            this.proxy = proxy;
            this.zone = zone;
        }
    }

    private final FleetShape shape;
    private final InetSocketAddress controller;
    private final SplittableRandom random;
    private final Selector selector = Selector.open();
    private final List<Peer> proxies = new ArrayList<>();
    private final List<Peer> collectors = new ArrayList<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Thread thread = new Thread(this::run, "fleet-stand-in");

    /** Set on close; read by the fleet's thread. */
    private volatile boolean closed;

    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong messagesIn = new AtomicLong();
    private final AtomicLong messagesOut = new AtomicLong();
    private final AtomicInteger withTables = new AtomicInteger();
    private final AtomicInteger lostConnections = new AtomicInteger();
    private final AtomicLong droppedReports = new AtomicLong();
    private final AtomicLong longestDelayMillis = new AtomicLong();

    /** The traffic so far: in is what the controller received, out is what it sent. */
    public record Traffic(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {}

    /** Connects all peers to the controller at a port and starts reporting. */
    public FleetSimulator(FleetShape shape, int port, long seed) throws IOException {
        this.shape = shape;
        controller = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        random = new SplittableRandom(seed);
        List<String> zones = shape.zoneNames();
        for (String zone : zones) {
            collectors.add(new Peer(-1, zone));
        }
        for (int i = 0; i < shape.proxies(); i++) {
            proxies.add(new Peer(i, zones.get(i % zones.size())));
        }
        for (Peer peer : collectors) {
            connect(peer);
        }
        for (Peer peer : proxies) {
            connect(peer);
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Connects or reconnects a peer to the controller and sends its identification. */
    private void connect(Peer peer) throws IOException {
        peer.channel = SocketChannel.open(controller);
        peer.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        peer.channel.configureBlocking(false);
        peer.channel.register(selector, SelectionKey.OP_READ, peer);
        peer.codec = new RespCodec();
        peer.unsent.clear();
        peer.unsentBytes = 0;
        if (peer.proxy < 0) {
            send(peer, "collector az " + peer.zone);
        } else {
            double requestsPerSecond =
                    (double) shape.replicas()
                            * REQUESTS_PER_REPORT
                            * 1_000
                            / REPORT_MILLIS
                            / shape.proxies();
            send(
                    peer,
                    String.format(
                            Locale.ROOT,
                            "joined sidecar %d az %s share %.1f standing 1",
                            peer.proxy,
                            peer.zone,
                            requestsPerSecond));
        }
    }

    /** The traffic so far. */
    public Traffic traffic() {
        return new Traffic(bytesIn.get(), bytesOut.get(), messagesIn.get(), messagesOut.get());
    }

    /** The number of proxies that have received a table. */
    public int withTables() {
        return withTables.get();
    }

    /** The number of connections that the controller closed, or that failed. */
    public int lostConnections() {
        return lostConnections.get();
    }

    /** The number of messages dropped because the controller read too slowly. */
    public long droppedReports() {
        return droppedReports.get();
    }

    /**
     * The longest delay of a round of reports. A late round means that this thread, not the
     * controller, was the bottleneck.
     */
    public long longestDelayMillis() {
        return longestDelayMillis.get();
    }

    private void run() {
        long nextRoundNanos = System.nanoTime();
        try {
            for (int round = 0; !closed; round++) {
                report(round % ROUNDS_PER_REPORT);
                nextRoundNanos += TimeUnit.MILLISECONDS.toNanos(ROUND_MILLIS);
                long remainingMillis =
                        TimeUnit.NANOSECONDS.toMillis(nextRoundNanos - System.nanoTime());
                longestDelayMillis.accumulateAndGet(-remainingMillis, Math::max);
                do {
                    selector.select(Math.max(1, remainingMillis));
                    readAll();
                    remainingMillis =
                            TimeUnit.NANOSECONDS.toMillis(nextRoundNanos - System.nanoTime());
                } while (remainingMillis > 0 && !closed);
            }
        } catch (IOException failure) {
            lostConnections.incrementAndGet();
        }
    }

    private void readAll() throws IOException {
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
            Peer peer = (Peer) key.attachment();
            try {
                read(peer);
            } catch (IOException | MalformedStreamException | InvalidMessageException failure) {
                reconnect(peer);
            }
        }
        selector.selectedKeys().clear();
    }

    private void reconnect(Peer peer) throws IOException {
        lostConnections.incrementAndGet();
        peer.channel.close();
        if (!closed) {
            connect(peer);
        }
    }

    private void read(Peer peer)
            throws IOException, MalformedStreamException, InvalidMessageException {
        readBuffer.clear();
        int count = peer.channel.read(readBuffer);
        if (count < 0) {
            throw new IOException("controller closed the connection");
        }
        bytesOut.addAndGet(count);
        peer.codec.feed(readBuffer.flip());
        while (peer.codec.next()) {
            messagesOut.incrementAndGet();
            if (peer.codec.has("lines") && !peer.hasTable) {
                peer.hasTable = true;
                withTables.incrementAndGet();
            }
            if (peer.codec.has("ticket")) {
                send(
                        peer,
                        "applied sidecar "
                                + peer.proxy
                                + " version "
                                + peer.codec.text("ticket")
                                + " lag_ms 1.0");
            }
        }
    }

    /** Sends the reports of one round; each replica and proxy has one round per report interval. */
    private void report(int round) {
        for (int i = round; i < shape.replicas(); i += ROUNDS_PER_REPORT) {
            Peer collector = collectors.get(i % shape.zones());
            send(
                    collector,
                    String.format(
                            Locale.ROOT,
                            "heard az %s host %s n %d bad 0 avg 150.0 window %d report util:%.2f",
                            collector.zone,
                            StaticDiscoveryServer.replica(i),
                            randomAround(REQUESTS_PER_REPORT),
                            REPORT_MILLIS,
                            0.5 * randomAround(100) / 100));
        }
        double requestsPerClass =
                (double) shape.replicas() * REQUESTS_PER_REPORT / shape.proxies() / shape.classes();
        for (int i = round; i < shape.proxies(); i += ROUNDS_PER_REPORT) {
            for (int k = 0; k < shape.classes(); k++) {
                send(
                        proxies.get(i),
                        "usage sidecar "
                                + i
                                + " kind "
                                + FleetShape.className(k)
                                + " n "
                                + randomAround(requestsPerClass)
                                + " bad 0 window "
                                + REPORT_MILLIS);
            }
        }
    }

    private int randomAround(double mean) {
        return (int) Math.round(mean * (1 + VARIATION * (2 * random.nextDouble() - 1)));
    }

    private void send(Peer peer, String words) {
        byte[] message = RespCodec.message(List.of(words.split(" ")));
        if (peer.unsentBytes + message.length <= MAX_UNSENT_BYTES) {
            messagesIn.incrementAndGet();
            peer.unsent.add(ByteBuffer.wrap(message));
            peer.unsentBytes += message.length;
        } else {
            droppedReports.incrementAndGet();
        }
        try {
            flush(peer);
        } catch (IOException ended) {
            peer.unsent.clear();
            peer.unsentBytes = 0;
        }
    }

    private void flush(Peer peer) throws IOException {
        while (!peer.unsent.isEmpty()) {
            int written = peer.channel.write(peer.unsent.peek());
            bytesIn.addAndGet(written);
            peer.unsentBytes -= written;
            if (peer.unsent.peek().hasRemaining()) {
                return;
            }
            peer.unsent.remove();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        for (Peer peer : proxies) {
            peer.channel.close();
        }
        for (Peer peer : collectors) {
            peer.channel.close();
        }
        selector.close();
    }
}
