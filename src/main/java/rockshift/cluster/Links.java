package rockshift.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.config.Section;
import rockshift.distribution.wire.DownstreamConnections;
import rockshift.wire.FramedConnection;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * A member's connections: a listener of its own, and one outgoing connection to each other member.
 * It owns the sockets and the bytes that wait for them. What does not fit is dropped, as the
 * protocol bears any loss; it must never wait for anyone.
 */
final class Links {
    private static final Logger LOG = LoggerFactory.getLogger(Links.class);

    /** Bytes read at a time, and that may wait for one connection: a flight of full messages. */
    private static final int PIECE = 64 << 10;

    private static final int UNSENT = 8 << 20;

    /**
     * Connections taken of members and commands. Subscribers have a bound of their own, strangers
     * that of both.
     */
    private static final int MOST = 64;

    /** Connections that may wait to be taken: all subscribers dialling at once. */
    private static final int BACKLOG = 1_024;

    /**
     * Ms until a new connection must have said who it is, and until one that says nothing more is
     * ended.
     */
    private static final int TO_SPEAK = 2_000;

    private static final int IDLE = 60_000;

    /** Ms between two dials: it doubles from the first to the last, and half of it is chance. */
    private static final long FIRST_PAUSE = 20;

    private static final long LAST_PAUSE = 1_000;
    private static final int DIAL = 1_000;
    private static final int LOOK = 50;
    private static final int FAREWELL = 300;

    /** What hears of it; calls come on the reactor's thread. */
    interface Handler {
        byte[] hello();

        void met(Hello hello);

        /** A message; one that can't be read ends its connection. */
        void message(byte[] payload, long cluster) throws IOException;

        /** A command; its answer goes to the link it came from. */
        void call(Link from, byte[] payload);
    }

    private final Handler handler;
    private final RandomGenerator chance;
    private final DefaultListeningIOReactor reactor;
    private final Map<String, Dialled> dialled = new ConcurrentHashMap<>();
    private final DownstreamConnections subscribers;
    // Used by the reactor's thread alone.
    private final ByteBuffer readBuffer = ByteBuffer.allocate(PIECE);
    private final int[] taken = new int[Role.values().length];

    /** An address that is dialled, again and again. */
    private static final class Dialled {
        volatile Link link;
        volatile boolean dialling;
        long pause = FIRST_PAUSE;
        long dialAt;
        boolean complained;
    }

    Links(Handler handler, DownstreamConnections subscribers, RandomGenerator chance) {
        this.handler = handler;
        this.subscribers = subscribers;
        this.chance = chance;
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
                        (session, attachment) ->
                                new Link(
                                        session,
                                        attachment instanceof Dialled
                                                ? (Dialled) attachment
                                                : null),
                        one,
                        null,
                        null,
                        null,
                        failure -> LOG.error("failure of the members' listener", failure),
                        null,
                        null,
                        session -> session.close(CloseMode.IMMEDIATE),
                        null);
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
        InetSocketAddress remote = Section.parseAddress(address);
        reactor.connect(
                new HttpHost(remote.getHostString(), remote.getPort()),
                remote,
                null,
                Timeout.ofMilliseconds(DIAL),
                to,
                new FutureCallback<>() {
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
                link.send(Frames.HELLO, handler.hello());
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

    /**
     * What a connection that was taken turned out to be, by its first frame; each has a bound of
     * its own.
     */
    private enum Role {
        STRANGER,
        MEMBER_OR_COMMAND,
        SUBSCRIBER
    }

    /** Connections taken that are in a role. Used by the reactor's thread alone. */
    private int count(Role role) {
        return taken[role.ordinal()];
    }

    private int most(Role role) {
        return switch (role) {
            case STRANGER -> MOST + subscribers.maxOpen();
            case MEMBER_OR_COMMAND -> MOST;
            case SUBSCRIBER -> subscribers.maxOpen();
        };
    }

    /** One connection. */
    final class Link extends FramedConnection {
        private final Dialled dialledAs;
        private Hello other;
        private Role role;

        Link(IOSession session, Dialled dialledAs) {
            super(session, readBuffer, UNSENT);
            this.dialledAs = dialledAs;
        }

        @Override
        public void connected(IOSession same) {
            if (dialledAs == null) {
                if (enter(Role.STRANGER)) {
                    session().setSocketTimeout(Timeout.ofMilliseconds(TO_SPEAK));
                }
            } else {
                dialledAs.link = this;
                dialledAs.pause = FIRST_PAUSE;
                dialledAs.complained = false;
                session().setSocketTimeout(Timeout.DISABLED);
                send(Frames.HELLO, handler.hello());
            }
        }

        /** Counts a taken connection in another role; ends it where there are too many of these. */
        private boolean enter(Role next) {
            if (role != null) {
                taken[role.ordinal()]--;
            }
            role = next;
            taken[role.ordinal()]++;
            if (count(role) > most(role)) {
                end("crowded", "");
                return false;
            }
            return true;
        }

        @Override
        protected void take(Frames.Frame frame) throws IOException {
            if (role == Role.STRANGER) {
                session().setSocketTimeout(Timeout.ofMilliseconds(IDLE));
                if (!enter(
                        frame.kind() == Frames.WATCH ? Role.SUBSCRIBER : Role.MEMBER_OR_COMMAND)) {
                    return;
                }
                if (role == Role.SUBSCRIBER) {
                    subscribers.opened(this);
                }
            }
            boolean subscribes = role == Role.SUBSCRIBER;
            if (subscribes != (frame.kind() == Frames.WATCH)) {
                throw new Frames.InvalidFrameException(
                        "unexpected", "a frame of kind " + frame.kind());
            }
            switch (frame.kind()) {
                case Frames.HELLO -> {
                    other = Hello.decode(frame.payload());
                    if (dialledAs == null) {
                        send(Frames.HELLO, handler.hello());
                    }
                    handler.met(other);
                }
                case Frames.MESSAGE -> {
                    if (other == null) {
                        throw new Frames.InvalidFrameException(
                                "unexpected", "a message before its sender's name");
                    }
                    handler.message(frame.payload(), other.cluster());
                }
                case Frames.CALL -> handler.call(this, frame.payload());
                case Frames.WATCH -> subscribers.received(this, frame.payload());
                default ->
                        throw new Frames.InvalidFrameException(
                                "unknown-kind", "a frame of kind " + frame.kind());
            }
        }

        @Override
        protected void quiet() {
            end(other == null ? "not-joined" : "idle", "");
        }

        @Override
        protected void failed(Exception failure) {
            LOG.error("failure on a member's connection", failure);
        }

        @Override
        protected void ended() {
            if (role != null) {
                taken[role.ordinal()]--;
            }
            if (dialledAs != null && dialledAs.link == this) {
                dialledAs.link = null;
            }
            String why = reason();
            if (role == Role.SUBSCRIBER) {
                subscribers.ended(this);
            } else if (dialledAs != null || other != null || why != null && !why.equals("left")) {
                LOG.info(
                        "closed member connection {}: {} {}",
                        other == null ? from() : other.name(),
                        why == null ? "stopping" : why,
                        about());
            }
        }
    }
}
