package rockshift.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.TimeValue;
import rockshift.config.Section;
import rockshift.distribution.wire.DownstreamConnections;
import rockshift.net.AcceptPolicy;
import rockshift.net.OpenDescriptors;
import rockshift.net.SupervisedReactor;
import rockshift.wire.Frames;
import rockshift.wire.Hello;

/**
 * The sockets of a member: a listener, and one outgoing connection to each other member. A message
 * that does not fit into a connection's buffer is dropped, since the protocol tolerates message
 * loss; sending never blocks.
 *
 * <p>Owns the reactor's threads. {@link #update}, {@link #sendHello} and {@link #send} are called
 * by the member's thread; the handler is called by the reactor's thread.
 */
final class MemberConnections implements AutoCloseable {
    /** The maximum number of bytes read from a connection at a time. */
    private static final int READ_CHUNK_BYTES = 64 << 10;

    /**
     * The maximum number of connections that wait to be accepted; allows for all subscribers
     * connecting at once.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** How long an attempt to connect may take. */
    static final int CONNECT_TIMEOUT_MS = 1_000;

    /** How often the reactor checks for idle connections. */
    private static final int IDLE_CHECK_INTERVAL_MS = 50;

    /** How long {@link #close} waits for the connections to close. */
    private static final int SHUTDOWN_GRACE_MS = 300;

    /** Handles received frames, on the reactor's thread. */
    interface Handler {
        /** Returns this member's own hello, encoded. */
        byte[] hello();

        void helloReceived(Hello hello);

        /** Handles the end of the connection on which a hello was received. */
        void helloEnded(Hello hello);

        /** Handles the end of a connection that calls of commands were received on. */
        void callerEnded(MemberConnection caller);

        /**
         * Handles a message of the protocol.
         *
         * @param cluster the id of the sender's cluster
         * @throws IOException if the message cannot be decoded; the connection is then closed
         */
        void messageReceived(MemberConnection from, byte[] payload, long cluster)
                throws IOException;

        /** Handles the call of a command; the reply goes to the connection that it came from. */
        void callReceived(MemberConnection from, byte[] payload);
    }

    private final Handler handler;
    private final DownstreamConnections subscribers;
    private final RandomGenerator random;
    private final SupervisedReactor reactor;
    private final Map<String, OutgoingPeer> peersByAddress = new ConcurrentHashMap<>();

    /** Used only by the reactor's thread, for the connection that is being read. */
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
                new SupervisedReactor(
                        "members",
                        config,
                        (session, attachment) ->
                                new MemberConnection(
                                        session,
                                        this,
                                        attachment instanceof OutgoingPeer outgoingPeer
                                                ? outgoingPeer
                                                : null),
                        AcceptPolicy.WHILE_DESCRIPTORS_ARE_FREE,
                        new OpenDescriptors());
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
     * Starts to accept connections.
     *
     * @return the port
     */
    int listen(InetSocketAddress address) throws IOException, InterruptedException {
        reactor.start();
        return reactor.listen(address, null).getPort();
    }

    @Override
    public void close() throws InterruptedException {
        reactor.close(SHUTDOWN_GRACE_MS);
    }

    /**
     * Connects to the addresses that have no connection, and closes connections to all other
     * addresses.
     */
    void update(Set<String> addresses, long nowMillis) {
        for (String gone : new HashSet<>(peersByAddress.keySet())) {
            if (!addresses.contains(gone)) {
                MemberConnection connection = peersByAddress.remove(gone).connection();
                if (connection != null) {
                    connection.close("left", "no longer a member");
                }
            }
        }
        for (String address : addresses) {
            OutgoingPeer peer = peersByAddress.computeIfAbsent(address, OutgoingPeer::new);
            if (peer.isConnectDue(nowMillis)) {
                peer.connectStarted(nowMillis, random);
                connect(address, peer);
            }
        }
    }

    private void connect(String address, OutgoingPeer peer) {
        reactor.connect(Section.parseAddress(address), CONNECT_TIMEOUT_MS, peer, peer);
    }

    /** Sends this member's hello on all outgoing connections. */
    void sendHello() {
        for (OutgoingPeer peer : peersByAddress.values()) {
            MemberConnection connection = peer.connection();
            if (connection != null) {
                connection.sendHello();
            }
        }
    }

    /** Sends a message to an address; drops it if there is no connection with room for it. */
    void send(String address, byte[] payload) {
        OutgoingPeer peer = peersByAddress.get(address);
        MemberConnection connection = peer == null ? null : peer.connection();
        if (connection != null) {
            connection.send(Frames.MESSAGE, payload);
        }
    }
}
