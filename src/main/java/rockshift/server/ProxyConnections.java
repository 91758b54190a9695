package rockshift.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOWorkerStats;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.settings.ClassNames;
import rockshift.settings.PlannerSettings;

/**
 * The listener and the connections of proxies, collectors and strangers: bytes in, bytes out, and
 * who each party is. It owns the sockets and the bytes that wait for them, and what may come in: a
 * spoilt message of a known party is dropped whole, and nothing of it reaches the module. It must
 * never wait for the module, for writing or for another party, and what one party does may cost
 * that party its connection and no more.
 */
final class ProxyConnections {
    private static final Logger LOG = LoggerFactory.getLogger(ProxyConnections.class);

    /** Bytes read from one connection before the others have their turn. */
    private static final int PIECE = 1 << 16;

    /**
     * Bytes that a party may leave unread before its connection is reset: the protocol's figure.
     */
    private static final int UNREAD = 128 << 10;

    /**
     * The same for answers to its pings, which it can have as many of as it likes: some hundred.
     */
    private static final int UNREAD_PONGS = 2 << 10;

    /** Bytes of all unfinished long messages together: a third of the heap. */
    private static final int UNFINISHED = 20 << 20;

    /**
     * Ms: the longest span or mean time that a report may tell of, far more than waits behind a
     * broken stream.
     */
    private static final int LONGEST = 600_000;

    /** Transactions a ms: more than a zone's proxies could bring. */
    private static final int MOST_A_MILLI = 1_000;

    /** Share of its time that a replica may say it was busy: noise brings it a little above 1. */
    private static final int MOST_BUSY = 2;

    /** Characters of what is logged of a party's own words. */
    private static final int QUOTED = 100;

    /** Connections that may wait to be accepted: all proxies dialling at once. */
    private static final int BACKLOG = 1024;

    /**
     * Descriptors that are not for parties: the program's own, 24 and two calls of discovery by
     * count; and those of them that hold connections which are being taken, or ended to make room.
     */
    private static final int RESERVED = 48;

    private static final int PASSING = 16;

    /**
     * Ms that a stranger has to say who it is: the protocol leaves it 1 s and wants it told within
     * 3 s.
     */
    private static final int TO_JOIN = 1_500;

    /**
     * Ms that it has where room is short, and between looks at one that is idle: a party speaks as
     * it dials.
     */
    private static final int TO_JOIN_CROWDED = 300;

    /** Ms between two looks at who says nothing. */
    private static final int LOOK = 100;

    /** Nanoseconds between two looks whether there is room again. */
    private static final long ROOM_PAUSE = 1_000_000;

    /**
     * Strangers' ends that are logged a second, each with its line; those beyond are counted in
     * one.
     */
    private static final int LINES = 50;

    /** Ms for ending all connections: a planned restart leaves 0.7 s. */
    private static final int FAREWELL = 300;

    private static final byte[] PONG = RespCodec.message(List.of(RespCodec.PONG));

    private final EventLoop loop;
    private final Set<String> zones;
    private final ClassNames classes;
    private final int proxies;

    /** Whether reports of load tell how busy a replica was. */
    private final boolean loads;

    private final int most;
    private final DefaultListeningIOReactor reactor;
    // Used by the reactor's one thread alone.
    private final ByteBuffer piece = ByteBuffer.allocate(PIECE);
    private final LinkedHashSet<Connection> connections = new LinkedHashSet<>();

    /** The last connection on which each proxy or collector told its name. */
    private final Map<String, Connection> newest = new HashMap<>();

    private long unfinished;

    /** Strangers that ended since then, and by code those that had no line of their own. */
    private long countedSince = System.nanoTime();

    private int counted;
    private final Map<String, Integer> unlogged = new TreeMap<>();

    ProxyConnections(EventLoop loop, PlannerSettings settings, int descriptors) {
        this.loop = loop;
        zones = Set.copyOf(settings.zones());
        classes = settings.classNames();
        proxies = settings.expectedProxies();
        loads = settings.loadMetricNames().contains(RespCodec.BUSY);
        most = Math.max(1, descriptors - RESERVED);
        IOReactorConfig one =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setBacklogSize(BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(LOOK))
                        .build();
        reactor =
                new DefaultListeningIOReactor(
                        (session, attachment) -> connection(session),
                        one,
                        null,
                        null,
                        null,
                        failure -> LOG.error("failure of the listener", failure),
                        null,
                        null,
                        session -> session.close(CloseMode.IMMEDIATE),
                        this::worker);
    }

    /** What the reactor tells of a connection. */
    IOEventHandler connection(IOSession session) {
        return new Connection(session);
    }

    /**
     * How many proxies of those told can't be joined here all at once, as descriptors run short.
     */
    int beyond() {
        return Math.max(0, proxies + zones.size() - most);
    }

    /**
     * Names the reactor's one thread for each connection that the listener took. The listener is
     * quicker, and one that finds no descriptor left ends for good: it waits here until ended
     * connections are let go.
     */
    private int worker(IOWorkerStats[] workers) {
        while (reactor.getStatus() == IOReactorStatus.ACTIVE
                && workers[0].totalChannelCount() + workers[0].pendingChannelCount()
                        > most + PASSING) {
            LockSupport.parkNanos(ROOM_PAUSE);
        }
        return 0;
    }

    /** Answers the port. */
    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        try {
            ListenerEndpoint endpoint = reactor.listen(address, null).get();
            return ((InetSocketAddress) endpoint.getAddress()).getPort();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage(), failure.getCause());
        }
    }

    /**
     * Ends all connections. The reactor's threads close what is theirs, and are given a moment for
     * it.
     */
    void close() throws InterruptedException {
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMilliseconds(FAREWELL));
    }

    /** Why a connection ended: a code, and what else there is to say. */
    private record Ending(String code, String about) {}

    /**
     * Whether a stranger's end has a line of its own; of the others one line tells as the next one
     * ends.
     */
    private boolean logged(String code) {
        if (System.nanoTime() - countedSince > TimeUnit.SECONDS.toNanos(1)) {
            if (!unlogged.isEmpty()) {
                LOG.warn("closed strangers without a line each: {}", unlogged);
            }
            unlogged.clear();
            countedSince = System.nanoTime();
            counted = 0;
        }
        if (counted++ < LINES) {
            return true;
        }
        unlogged.merge(code, 1, Integer::sum);
        return false;
    }

    /** One connection and who is at its other end. */
    private final class Connection implements IOEventHandler, PublishedTables.Stream {
        private final IOSession session;
        private final SocketAddress from;
        private final long since = System.nanoTime();
        private final RespCodec resp = new RespCodec();
        private final ConcurrentLinkedQueue<ByteBuffer> waiting = new ConcurrentLinkedQueue<>();
        private final AtomicInteger unread = new AtomicInteger();

        /** Its messages that the module has not taken in yet. */
        private final AtomicInteger queued = new AtomicInteger();

        /**
         * Why it ended, once: by the reactor's thread, or by the module's where it leaves too much
         * unread.
         */
        private final AtomicReference<Ending> ending = new AtomicReference<>();

        private String name = "stranger";

        /** The zone of a collector; the number of a proxy. */
        private String zone;

        private int proxy = -1;
        private int dropped;

        Connection(IOSession session) {
            this.session = session;
            from = session.getRemoteAddress();
        }

        @Override
        public void connected(IOSession same) {
            session.setSocketTimeout(Timeout.ofMilliseconds(TO_JOIN_CROWDED));
            if (connections.size() >= most) {
                // Who says nothing makes room, but not before what it says could be read.
                Connection oldest =
                        connections.stream().filter(Connection::stranger).findFirst().orElse(this);
                if (oldest.age() < TO_JOIN_CROWDED) {
                    end("crowded", "");
                    return;
                }
                connections.remove(oldest);
                oldest.end("crowded", "");
            }
            connections.add(this);
        }

        private long age() {
            return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
        }

        /** A stranger's time runs whether it speaks or not; a quiet stream is a stream. */
        private void look() {
            if (stranger() && age() > TO_JOIN) {
                end("not-joined", "");
            }
        }

        private boolean stranger() {
            return zone == null && proxy < 0;
        }

        /**
         * A party has one connection, the newest: of a machine that vanished nothing else ends the
         * old one.
         */
        private void named(String name) {
            this.name = name;
            session.setSocketTimeout(Timeout.DISABLED);
            Connection before = newest.put(name, this);
            if (before != null) {
                before.end("replaced", "");
            }
        }

        @Override
        public void inputReady(IOSession same, ByteBuffer unused) throws IOException {
            piece.clear();
            int count = session.read(piece);
            if (count < 0) {
                end("left", "");
                return;
            }
            unfinished -= resp.held() - RespCodec.USUAL;
            try {
                resp.feed(piece.flip());
                while (ending.get() == null && resp.next()) {
                    if (!taken()) {
                        end("flood", queued + " messages wait for the module");
                    }
                }
            } catch (RespCodec.Broken broken) {
                end(broken.code, broken.getMessage());
            } finally {
                unfinished += resp.held() - RespCodec.USUAL;
            }
            look();
            if (unfinished > UNFINISHED && resp.held() > RespCodec.USUAL) {
                end("flood", "too many unfinished messages");
            }
        }

        /**
         * Takes in one message; false where too many of this party wait for the module already. One
         * that can't be used ends a stranger. A known party loses the message alone, as those
         * around it may be good.
         */
        private boolean taken() {
            try {
                resp.complete();
                return take();
            } catch (RespCodec.Spoilt spoilt) {
                if (stranger()) {
                    end(spoilt.code, spoilt.getMessage());
                } else if (dropped++ == 0) {
                    LOG.warn(
                            "dropped a message of {}: {}",
                            name,
                            quoted(spoilt.code + " " + spoilt.getMessage()));
                }
                return true;
            }
        }

        private boolean take() throws RespCodec.Spoilt {
            return switch (resp.kind()) {
                case RespCodec.PING -> {
                    send(PONG, UNREAD_PONGS);
                    yield true;
                }
                case RespCodec.COLLECTOR -> {
                    require(stranger(), "a collector that was something else");
                    String told = zone();
                    named("collector of " + told);
                    zone = told;
                    yield true;
                }
                case RespCodec.JOINED -> {
                    require(stranger(), "a proxy that was something else");
                    int number = numbered();
                    String told = zone();
                    double rate = resp.number(RespCodec.USUAL_RATE);
                    proxy = number;
                    // Its old connection is ended only where this one is taken.
                    boolean taken = loop.joined(queued, number, told, rate, this);
                    if (taken) {
                        named("proxy " + number);
                    }
                    yield taken;
                }
                case RespCodec.HEARD -> {
                    require(zone != null, "a report from no collector");
                    field(resp.text(RespCodec.ZONE).equals(zone), RespCodec.ZONE);
                    int count = counted();
                    int failed = resp.whole(RespCodec.FAILED);
                    field(failed <= count, RespCodec.FAILED);
                    yield loop.heard(
                            queued,
                            zone,
                            DiscoveryClient.number(resp.text(RespCodec.REPLICA)),
                            count,
                            failed,
                            tenths(RespCodec.MEAN_TIME),
                            tenths(RespCodec.SPAN),
                            busy());
                }
                case RespCodec.USAGE -> {
                    require(!stranger(), "a report from a stranger");
                    int number = numbered();
                    field(proxy < 0 || number == proxy, RespCodec.PROXY);
                    String type = resp.text(RespCodec.CLASS);
                    field(classes.contains(type), RespCodec.CLASS);
                    // What failed may have come before the span: more can have failed in it than
                    // came.
                    resp.whole(RespCodec.FAILED);
                    yield loop.usage(queued, number, type, counted(), tenths(RespCodec.SPAN));
                }
                case RespCodec.APPLIED -> {
                    require(proxy >= 0, "a mark of no proxy");
                    field(resp.whole(RespCodec.PROXY) == proxy, RespCodec.PROXY);
                    resp.number(RespCodec.DELAY);
                    yield loop.applied(queued, proxy, resp.whole(RespCodec.SERIAL), this);
                }
                default -> throw new RespCodec.Spoilt("unknown-kind", "'" + resp.kind() + "'");
            };
        }

        private void require(boolean so, String what) throws RespCodec.Spoilt {
            if (!so) {
                throw new RespCodec.Spoilt("unexpected", what);
            }
        }

        private void field(boolean fits, String field) throws RespCodec.Spoilt {
            if (!fits) {
                throw new RespCodec.Spoilt("bad-field", field + " '" + resp.text(field) + "'");
            }
        }

        private String zone() throws RespCodec.Spoilt {
            String told = resp.text(RespCodec.ZONE);
            field(zones.contains(told), RespCodec.ZONE);
            return told;
        }

        private int numbered() throws RespCodec.Spoilt {
            int number = resp.whole(RespCodec.PROXY);
            field(number < proxies, RespCodec.PROXY);
            return number;
        }

        /** What a report counts: no more than its span holds. */
        private int counted() throws RespCodec.Spoilt {
            int count = resp.whole(RespCodec.COUNT);
            field(count <= MOST_A_MILLI * resp.number(RespCodec.SPAN), RespCodec.COUNT);
            return count;
        }

        private long tenths(String name) throws RespCodec.Spoilt {
            double millis = resp.number(name);
            field(millis <= LONGEST, name);
            return (long) (millis * EventLoop.TENTHS_PER_MILLI);
        }

        /**
         * A replica's load where one is told; a report of load without it is spoilt where the terms
         * have it.
         */
        private Double busy() throws RespCodec.Spoilt {
            Double busy = resp.paired(RespCodec.LOAD, RespCodec.BUSY);
            field(
                    busy == null ? !loads || !resp.has(RespCodec.LOAD) : busy <= MOST_BUSY,
                    RespCodec.LOAD);
            return busy;
        }

        /** Called by the module's thread; the reactor's writes. */
        @Override
        public void send(byte[] message) {
            send(message, UNREAD);
        }

        /** Never fails, and leaves nothing behind, whenever the connection ends meanwhile. */
        private void send(byte[] message, int most) {
            int before = unread.getAndAdd(message.length);
            if (before > most) {
                end("unread", before + " bytes wait");
                return;
            }
            waiting.add(ByteBuffer.wrap(message));
            if (ending.get() != null) {
                waiting.clear();
                return;
            }
            try {
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException ended) {
                // It ends this moment, and is told so.
                waiting.clear();
            }
        }

        @Override
        public void outputReady(IOSession same) throws IOException {
            for (ByteBuffer next = waiting.peek(); next != null; next = waiting.peek()) {
                unread.addAndGet(-session.write(next));
                if (next.hasRemaining()) {
                    return;
                }
                waiting.remove();
            }
            session.clearEvent(SelectionKey.OP_WRITE);
            if (!waiting.isEmpty()) {
                session.setEvent(SelectionKey.OP_WRITE);
            }
        }

        private void end(String code, String what) {
            if (ending.compareAndSet(null, new Ending(code, quoted(what)))) {
                session.close(CloseMode.IMMEDIATE);
            }
        }

        private static String quoted(String what) {
            return what.substring(0, Math.min(QUOTED, what.length())).replaceAll("\\p{Cntrl}", "?");
        }

        @Override
        public void timeout(IOSession same, Timeout limit) {
            look();
        }

        @Override
        public void exception(IOSession same, Exception failure) {
            if (failure instanceof IOException) {
                end("reset", String.valueOf(failure.getMessage()));
            } else {
                LOG.error("failure on the connection of {}", name, failure);
                end("failure", failure.toString());
            }
        }

        @Override
        public void disconnected(IOSession same) {
            ending.compareAndSet(null, new Ending("stopping", ""));
            connections.remove(this);
            newest.remove(name, this);
            unfinished -= resp.held() - RespCodec.USUAL;
            waiting.clear();
            if (proxy >= 0) {
                loop.left(proxy, this);
            }
            if (stranger() && !logged(ending.get().code)) {
                return;
            }
            LOG.info(
                    "closed {} from {}: {} {}{}",
                    name,
                    from,
                    ending.get().code,
                    ending.get().about,
                    dropped > 0 ? "; " + dropped + " messages dropped" : "");
        }
    }
}
