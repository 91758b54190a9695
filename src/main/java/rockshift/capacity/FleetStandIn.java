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
 * The proxies and collectors of one governor, on one thread: each proxy joins, answers marks and
 * reports what came to it; each zone's collector reports what was met at the replicas there. The
 * figures reported are drawn from a seed; nothing is served.
 */
public final class FleetStandIn implements AutoCloseable {
    /** Ms between two reports on the same replica or by the same proxy. */
    public static final int REPORT_MILLIS = 2_000;

    private static final int TICK_MILLIS = 50;
    private static final int TICKS = REPORT_MILLIS / TICK_MILLIS;

    /** Requests that a replica answers between two reports, and the share by which they vary. */
    private static final int TRIES = 40;

    private static final double VARIATION = 0.1;
    private static final int PIECE = 1 << 16;

    /**
     * Bytes that a governor may leave unread of one party before its reports are dropped and
     * counted.
     */
    private static final int MOST_WAITING = 1 << 18;

    /** One connection to the governor: a proxy by its number, or a collector with -1. */
    private static final class Party {
        private final int proxy;
        private final String zone;
        private SocketChannel channel;
        private RespCodec codec;
        private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
        private int waitingBytes;
        private boolean hasTable;

        Party(int proxy, String zone) {
            this.proxy = proxy;
            this.zone = zone;
        }
    }

    private final FleetShape shape;
    private final InetSocketAddress governor;
    private final SplittableRandom random;
    private final Selector selector = Selector.open();
    private final List<Party> proxies = new ArrayList<>();
    private final List<Party> collectors = new ArrayList<>();
    private final ByteBuffer piece = ByteBuffer.allocate(PIECE);
    private final Thread thread = new Thread(this::run, "fleet-stand-in");
    private volatile boolean closed;
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private final AtomicLong messagesIn = new AtomicLong();
    private final AtomicLong messagesOut = new AtomicLong();
    private final AtomicInteger withTables = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong latestMillis = new AtomicLong();

    /** What passed so far, as the governor sees it: in is what it was sent. */
    public record Traffic(long bytesIn, long bytesOut, long messagesIn, long messagesOut) {}

    public FleetStandIn(FleetShape shape, int port, long seed) throws IOException {
        this.shape = shape;
        governor = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        random = new SplittableRandom(seed);
        List<String> zones = shape.zoneNames();
        for (String zone : zones) {
            collectors.add(new Party(-1, zone));
        }
        for (int i = 0; i < shape.proxies(); i++) {
            proxies.add(new Party(i, zones.get(i % zones.size())));
        }
        for (Party party : collectors) {
            connect(party);
        }
        for (Party party : proxies) {
            connect(party);
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Dials, also again where the governor ended a connection, and says who it is. */
    private void connect(Party party) throws IOException {
        party.channel = SocketChannel.open(governor);
        party.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        party.channel.configureBlocking(false);
        party.channel.register(selector, SelectionKey.OP_READ, party);
        party.codec = new RespCodec();
        party.waiting.clear();
        party.waitingBytes = 0;
        if (party.proxy < 0) {
            send(party, "collector az " + party.zone);
        } else {
            double share =
                    (double) shape.replicas() * TRIES * 1_000 / REPORT_MILLIS / shape.proxies();
            send(
                    party,
                    String.format(
                            Locale.ROOT,
                            "joined sidecar %d az %s share %.1f standing 1",
                            party.proxy,
                            party.zone,
                            share));
        }
    }

    public Traffic traffic() {
        return new Traffic(bytesIn.get(), bytesOut.get(), messagesIn.get(), messagesOut.get());
    }

    /** Proxies that were sent a table so far. */
    public int withTables() {
        return withTables.get();
    }

    /** Connections that the governor ended, and reports dropped as it left too much unread. */
    public int lostConnections() {
        return lost.get();
    }

    public long droppedReports() {
        return dropped.get();
    }

    /**
     * How late a round of reports began at most, in ms: this thread, not the governor, was the
     * limit then.
     */
    public long latestMillis() {
        return latestMillis.get();
    }

    private void run() {
        long next = System.nanoTime();
        try {
            for (int tick = 0; !closed; tick++) {
                report(tick % TICKS);
                next += TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
                long rest = TimeUnit.NANOSECONDS.toMillis(next - System.nanoTime());
                latestMillis.accumulateAndGet(-rest, Math::max);
                do {
                    selector.select(Math.max(1, rest));
                    readAll();
                    rest = TimeUnit.NANOSECONDS.toMillis(next - System.nanoTime());
                } while (rest > 0 && !closed);
            }
        } catch (IOException failure) {
            lost.incrementAndGet();
        }
    }

    private void readAll() throws IOException {
        for (SelectionKey key : List.copyOf(selector.selectedKeys())) {
            Party party = (Party) key.attachment();
            try {
                read(party);
            } catch (IOException | MalformedStreamException | InvalidMessageException ended) {
                again(party);
            }
        }
        selector.selectedKeys().clear();
    }

    private void again(Party party) throws IOException {
        lost.incrementAndGet();
        party.channel.close();
        if (!closed) {
            connect(party);
        }
    }

    private void read(Party party)
            throws IOException, MalformedStreamException, InvalidMessageException {
        piece.clear();
        int count = party.channel.read(piece);
        if (count < 0) {
            throw new IOException("the governor ended a connection");
        }
        bytesOut.addAndGet(count);
        party.codec.feed(piece.flip());
        while (party.codec.next()) {
            messagesOut.incrementAndGet();
            if (party.codec.has("lines") && !party.hasTable) {
                party.hasTable = true;
                withTables.incrementAndGet();
            }
            if (party.codec.has("ticket")) {
                send(
                        party,
                        "applied sidecar "
                                + party.proxy
                                + " version "
                                + party.codec.text("ticket")
                                + " lag_ms 1.0");
            }
        }
    }

    /** The reports of one tick: each replica and each proxy has its turn once in a period. */
    private void report(int tick) {
        for (int i = tick; i < shape.replicas(); i += TICKS) {
            Party collector = collectors.get(i % shape.zones());
            send(
                    collector,
                    String.format(
                            Locale.ROOT,
                            "heard az %s host %s n %d bad 0 avg 150.0 window %d report util:%.2f",
                            collector.zone,
                            StaticDiscoveryServer.replica(i),
                            varied(TRIES),
                            REPORT_MILLIS,
                            0.5 * varied(100) / 100));
        }
        double each = (double) shape.replicas() * TRIES / shape.proxies() / shape.classes();
        for (int i = tick; i < shape.proxies(); i += TICKS) {
            for (int k = 0; k < shape.classes(); k++) {
                send(
                        proxies.get(i),
                        "usage sidecar "
                                + i
                                + " kind "
                                + FleetShape.className(k)
                                + " n "
                                + varied(each)
                                + " bad 0 window "
                                + REPORT_MILLIS);
            }
        }
    }

    private int varied(double mean) {
        return (int) Math.round(mean * (1 + VARIATION * (2 * random.nextDouble() - 1)));
    }

    private void send(Party party, String words) {
        byte[] message = RespCodec.message(List.of(words.split(" ")));
        if (party.waitingBytes + message.length <= MOST_WAITING) {
            messagesIn.incrementAndGet();
            party.waiting.add(ByteBuffer.wrap(message));
            party.waitingBytes += message.length;
        } else {
            dropped.incrementAndGet();
        }
        try {
            flush(party);
        } catch (IOException ended) {
            party.waiting.clear();
            party.waitingBytes = 0;
        }
    }

    private void flush(Party party) throws IOException {
        while (!party.waiting.isEmpty()) {
            int written = party.channel.write(party.waiting.peek());
            bytesIn.addAndGet(written);
            party.waitingBytes -= written;
            if (party.waiting.peek().hasRemaining()) {
                return;
            }
            party.waiting.remove();
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
        for (Party party : proxies) {
            party.channel.close();
        }
        for (Party party : collectors) {
            party.channel.close();
        }
        selector.close();
    }
}
