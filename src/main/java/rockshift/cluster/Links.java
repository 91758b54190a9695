package rockshift.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.operator.Section;

/**
 * A member's connections: a listener of its own, and one outgoing connection to each other member. It owns the sockets and the
 * bytes that wait for them. What does not fit is dropped, as the protocol bears any loss; it must never wait for anyone.
 */
final class Links {
    private static final Logger LOG = LoggerFactory.getLogger(Links.class);
    /** Bytes read at a time, and that may wait for one connection: a flight of full messages. */
    private static final int PIECE = 64 << 10;
    private static final int UNSENT = 8 << 20;
    /** Connections taken: members, commands, and strangers up to here. */
    private static final int MOST = 64;
    /** Ms until a new connection must have said who it is, and until one that says nothing more is ended. */
    private static final int TO_SPEAK = 2_000;
    private static final int IDLE = 60_000;
    /** Ms between two dials: it doubles from the first to the last, and half of it is chance. */
    private static final long FIRST_PAUSE = 20;
    private static final long LAST_PAUSE = 1_000;
    private static final int DIAL = 1_000;
    private static final int LOOK = 50;
    private static final int FAREWELL = 300;

    /** What hears of it; calls come on the reactor's thread. */
    interface Ear {
        byte[] hello();

        void met(Codec.Hello hello);

        /** A message; one that can't be read ends its connection. */
        void message(byte[] payload, long cluster) throws IOException;

        /** A command; its answer goes to the link it came from. */
        void call(Link from, byte[] payload);
    }

    private final Ear ear;
    private final RandomGenerator chance;
    private final DefaultListeningIOReactor reactor;
    private final Map<String, Dialled> dialled = new ConcurrentHashMap<>();
    private final AtomicInteger taken = new AtomicInteger();

    /** An address that is dialled, again and again. */
    private static final class Dialled {
        volatile Link link;
        volatile boolean dialling;
        long pause = FIRST_PAUSE;
        long dialAt;
        boolean complained;
    }

    Links(Ear ear, RandomGenerator chance) {
        this.ear = ear;
        this.chance = chance;
        IOReactorConfig one =
                IOReactorConfig.custom().setIoThreadCount(1).setSoReuseAddress(true).setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(LOOK)).build();
        reactor = new DefaultListeningIOReactor(
                (session, attachment) -> new Link(session, attachment instanceof Dialled
                        ? (Dialled) attachment : null),
                one, null, null, null,
                failure -> LOG.error("failure of the members' listener", failure), null, null,
                session -> session.close(CloseMode.IMMEDIATE), null);
    }

    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        try {
            return ((InetSocketAddress) reactor.listen(address, null).get().getAddress()).getPort();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage(), failure.getCause());
        }
    }

    void close() throws InterruptedException {
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMilliseconds(FAREWELL));
    }

    /** Dials whom it should have a connection to and has none, and lets go of others. */
    void tend(Set<String> addresses, long nowMs) {
        for (String gone : new HashSet<>(dialled.keySet())) {
            if (!addresses.contains(gone)) {
                Link link = dialled.remove(gone).link;
                if (link != null) {
                    link.end("left", "no longer a member");
                }
            }
        }
        for (String address : addresses) {
            Dialled to = dialled.computeIfAbsent(address, absent -> new Dialled());
            if (to.link == null && !to.dialling && nowMs >= to.dialAt) {
                to.dialling = true;
                to.pause = Math.min(LAST_PAUSE, 2 * to.pause);
                to.dialAt = nowMs + to.pause / 2 + chance.nextLong(to.pause / 2 + 1);
                dial(address, to);
            }
        }
    }

    private void dial(String address, Dialled to) {
        InetSocketAddress remote = Section.socket(address);
        reactor.connect(new HttpHost(remote.getHostString(), remote.getPort()), remote, null,
                Timeout.ofMilliseconds(DIAL), to, new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        to.dialling = false;
                    }

                    @Override
                    public void failed(Exception failure) {
                        if (!to.complained) {
                            LOG.info("member at {} not reached: {}", address, failure.getMessage());
                        }
                        to.complained = true;
                        to.dialling = false;
                    }

                    @Override
                    public void cancelled() {
                        to.dialling = false;
                    }
                });
    }

    /** Tells all that are dialled who this is, anew. */
    void greet() {
        for (Dialled to : dialled.values()) {
            Link link = to.link;
            if (link != null) {
                link.send(Frames.HELLO, ear.hello());
            }
        }
    }

    /** Sends a message to an address, if there is a connection that has room. */
    void send(String address, byte[] payload) {
        Dialled to = dialled.get(address);
        Link link = to == null ? null : to.link;
        if (link != null) {
            link.send(Frames.MESSAGE, payload);
        }
    }

    /** One connection. */
    final class Link implements IOEventHandler {
        private final IOSession session;
        private final Dialled dialledAs;
        private final SocketAddress from;
        private final Frames frames = new Frames();
        private final ByteBuffer piece = ByteBuffer.allocate(PIECE);
        // Under the session's lock: frames that wait, the first perhaps in part, and their bytes.
        private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
        private int unsent;
        private Codec.Hello other;
        private volatile String reason;
        private String about = "";
        private boolean counted;

        Link(IOSession session, Dialled dialledAs) {
            this.session = session;
            this.dialledAs = dialledAs;
            from = session.getRemoteAddress();
        }

        @Override
        public void connected(IOSession same) {
            if (dialledAs == null) {
                counted = true;
                if (taken.incrementAndGet() > MOST) {
                    end("crowded", "");
                    return;
                }
                session.setSocketTimeout(Timeout.ofMilliseconds(TO_SPEAK));
            } else {
                dialledAs.link = this;
                dialledAs.pause = FIRST_PAUSE;
                dialledAs.complained = false;
                session.setSocketTimeout(Timeout.DISABLED);
                send(Frames.HELLO, ear.hello());
            }
        }

        @Override
        public void inputReady(IOSession same, ByteBuffer unused) throws IOException {
            int count;
            do {
                piece.clear();
                count = session.read(piece);
                if (count < 0) {
                    end("left", "");
                    return;
                }
                try {
                    frames.feed(piece.flip());
                    for (Frames.Frame frame = frames.next(); frame != null && reason == null;
                            frame = frames.next()) {
                        take(frame);
                    }
                } catch (Frames.Broken broken) {
                    end(broken.code, broken.getMessage());
                } catch (IOException spoilt) {
                    end("malformed", spoilt.getMessage());
                }
            } while (count == PIECE && reason == null);
        }

        private void take(Frames.Frame frame) throws IOException {
            switch (frame.kind()) {
                case Frames.HELLO -> {
                    other = Codec.hello(frame.payload());
                    if (dialledAs == null) {
                        session.setSocketTimeout(Timeout.ofMilliseconds(IDLE));
                        send(Frames.HELLO, ear.hello());
                    }
                    ear.met(other);
                }
                case Frames.MESSAGE -> {
                    if (other == null) {
                        throw new Frames.Broken("unexpected", "a message before its sender's name");
                    }
                    ear.message(frame.payload(), other.cluster());
                }
                case Frames.CALL -> {
                    session.setSocketTimeout(Timeout.ofMilliseconds(IDLE));
                    ear.call(this, frame.payload());
                }
                default -> throw new Frames.Broken("unknown-kind", "a frame of kind " + frame.kind());
            }
        }

        /**
         * Sends a frame, from the caller's thread where nothing waits before it. What would wait beyond the limit is dropped,
         * as if it were lost on the way.
         */
        void send(byte kind, byte[] payload) {
            ByteBuffer frame = ByteBuffer.wrap(Frames.frame(kind, payload));
            session.getLock().lock();
            try {
                if (waiting.isEmpty()) {
                    session.write(frame);
                }
                if (frame.hasRemaining() && unsent + frame.remaining() <= UNSENT) {
                    unsent += frame.remaining();
                    waiting.add(frame);
                    session.setEvent(SelectionKey.OP_WRITE);
                }
            } catch (IOException broken) {
                end("reset", String.valueOf(broken.getMessage()));
            } finally {
                session.getLock().unlock();
            }
        }

        @Override
        public void outputReady(IOSession same) throws IOException {
            session.getLock().lock();
            try {
                for (ByteBuffer first = waiting.peek(); first != null; first = waiting.peek()) {
                    unsent -= session.write(first);
                    if (first.hasRemaining()) {
                        return;
                    }
                    waiting.remove();
                }
                session.clearEvent(SelectionKey.OP_WRITE);
            } finally {
                session.getLock().unlock();
            }
        }

        private void end(String why, String what) {
            if (reason == null) {
                reason = why;
                about = what;
                session.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public void timeout(IOSession same, Timeout after) {
            end(other == null ? "not-joined" : "idle", "");
        }

        @Override
        public void exception(IOSession same, Exception failure) {
            if (!(failure instanceof IOException)) {
                LOG.error("failure on a member's connection", failure);
            }
            end(failure instanceof IOException ? "reset" : "failure", String.valueOf(failure.getMessage()));
        }

        @Override
        public void disconnected(IOSession same) {
            if (counted) {
                taken.decrementAndGet();
            }
            if (dialledAs != null && dialledAs.link == this) {
                dialledAs.link = null;
            }
            if (dialledAs != null || other != null || reason != null && !reason.equals("left")) {
                LOG.info("closed member connection {}: {} {}", other == null ? from : other.name(),
                        reason == null ? "stopping" : reason, about);
            }
        }
    }
}
