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
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rockshift.config.Section;
import rockshift.distribution.wire.DownstreamConnections;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * A member's sockets: a listener of its own, and one outgoing connection to each other member. What
 * does not fit into a connection is dropped, since the protocol bears any loss; nothing here waits.
 *
 * <p>It owns the reactor's threads. {@link #tend}, {@link #greet} and {@link #send} are called by
 * the member's thread; the handler is called by the reactor's.
 */
final class MemberConnections implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(MemberConnections.class);

    /** Bytes read from a connection at a time. */
    private static final int READ_CHUNK_BYTES = 64 << 10;

    /** Connections that may wait to be accepted: all subscribers connecting at once. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private static final int CONNECT_TIMEOUT_MS = 1_000;

    /** How often the reactor looks for connections that are idle. */
    private static final int IDLE_CHECK_INTERVAL_MS = 50;

    /** How long all connections may take to close. */
    private static final int SHUTDOWN_GRACE_MS = 300;

    /** What hears of frames, on the reactor's thread. */
    interface Handler {
        /** This member's own hello, encoded. */
        byte[] hello();

        void helloReceived(Hello hello);

        /**
         * A message of the protocol.
         *
         * @param cluster the cluster that its sender belongs to
         * @throws IOException if it cannot be decoded, which closes its connection
         */
        void messageReceived(byte[] payload, long cluster) throws IOException;

        /** A command; its answer goes to the connection that it came from. */
        void callReceived(MemberConnection from, byte[] payload);
    }

    private final Handler handler;
    private final DownstreamConnections subscribers;
    private final RandomGenerator random;
    private final DefaultListeningIOReactor reactor;
    private final Map<String, OutgoingPeer> peersByAddress = new ConcurrentHashMap<>();

    /** Used by the reactor's thread alone, by whichever connection is being read. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_CHUNK_BYTES);

    private final IncomingConnectionLimits limits;

    MemberConnections(Handler handler, DownstreamConnections subscribers, RandomGenerator random) {
        this.handler = handler;
        this.subscribers = subscribers;
        this.random = random;
        limits = new IncomingConnectionLimits(subscribers.maxOpen());
        IOReactorConfig config =
                IOReactorConfig.custom()
                        .setIoThreadCount(1)
                        .setBacklogSize(ACCEPT_BACKLOG)
                        .setSoReuseAddress(true)
                        .setTcpNoDelay(true)
                        .setSelectInterval(TimeValue.ofMilliseconds(IDLE_CHECK_INTERVAL_MS))
                        .build();
        reactor =
                new DefaultListeningIOReactor(
                        (session, attachment) ->
                                new MemberConnection(
                                        session,
                                        this,
                                        attachment instanceof OutgoingPeer dialled
                                                ? dialled
                                                : null),
                        config,
                        null,
                        null,
                        null,
                        failure -> LOG.error("member listener failed", failure),
                        null,
                        null,
                        session -> session.close(CloseMode.IMMEDIATE),
                        null);
    }

    Handler handler() {
        return handler;
    }

    DownstreamConnections subscribers() {
        return subscribers;
    }

    ByteBuffer readBuffer() {
        return readBuffer;
    }

    IncomingConnectionLimits limits() {
        return limits;
    }

    /**
     * Begins to accept connections.
     *
     * @return the port
     */
    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        try {
            return ((InetSocketAddress) reactor.listen(address, null).get().getAddress()).getPort();
        } catch (ExecutionException failure) {
            throw new IOException(failure.getCause().getMessage(), failure.getCause());
        }
    }

    @Override
    public void close() throws InterruptedException {
        reactor.initiateShutdown();
        reactor.awaitShutdown(TimeValue.ofMilliseconds(SHUTDOWN_GRACE_MS));
    }

    /** Dials addresses that have no connection, and closes connections to any other address. */
    void tend(Set<String> addresses, long nowMillis) {
        for (String gone : new HashSet<>(peersByAddress.keySet())) {
            if (!addresses.contains(gone)) {
                MemberConnection connection = peersByAddress.remove(gone).connection();
                if (connection != null) {
                    connection.end("left", "no longer a member");
                }
            }
        }
        for (String address : addresses) {
            OutgoingPeer peer = peersByAddress.computeIfAbsent(address, OutgoingPeer::new);
            if (peer.isDialDue(nowMillis)) {
                peer.dialStarted(nowMillis, random);
                dial(address, peer);
            }
        }
    }

    private void dial(String address, OutgoingPeer peer) {
        InetSocketAddress remote = Section.parseAddress(address);
        reactor.connect(
                new HttpHost(remote.getHostString(), remote.getPort()),
                remote,
                null,
                Timeout.ofMilliseconds(CONNECT_TIMEOUT_MS),
                peer,
                peer);
    }

    /** Says anew on all outgoing connections who this member is. */
    void greet() {
        for (OutgoingPeer peer : peersByAddress.values()) {
            MemberConnection connection = peer.connection();
            if (connection != null) {
                connection.sendHello();
            }
        }
    }

    /** Sends a message to an address, if there is a connection that has room. */
    void send(String address, byte[] payload) {
        OutgoingPeer peer = peersByAddress.get(address);
        MemberConnection connection = peer == null ? null : peer.connection();
        if (connection != null) {
            connection.send(Frames.MESSAGE, payload);
        }
    }
}
