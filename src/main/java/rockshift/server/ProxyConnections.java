package rockshift.server;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import org.apache.hc.core5.reactor.IOSession;
import rockshift.settings.PlannerSettings;

/**
 * The open connections of proxies, collectors and unidentified peers. It limits their number and
 * tracks the newest one of each peer. Except for its immutable fields, used only in the events of a
 * reactor, which come one at a time.
 */
final class ProxyConnections {
    /** Maximum bytes read from one connection before the others are served. */
    private static final int READ_CHUNK_BYTES = 1 << 16;

    /**
     * Descriptors that are not available to peers in any case. If the program itself holds more,
     * the listener accepts fewer connections than {@link #maxConnections}.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    private final EventLoop loop;
    private final MessageValidator validator;
    private final int maxConnections;
    private final ByteBuffer readChunk = ByteBuffer.allocate(READ_CHUNK_BYTES);
    private final ConnectionCloseLog closeLog = new ConnectionCloseLog();

    /** In the order of their acceptance. */
    private final LinkedHashSet<ProxyConnection> open = new LinkedHashSet<>();

    /** The newest connection of each identified peer, by the peer's label. */
    private final Map<String, ProxyConnection> newestByPeer = new HashMap<>();

    ProxyConnections(EventLoop loop, PlannerSettings settings, int descriptors) {
        this.loop = loop;
        validator = new MessageValidator(settings);
        maxConnections = Math.max(1, descriptors - RESERVED_DESCRIPTORS);
    }

    /** Returns the handler of a connection that the reactor has accepted. */
    ProxyConnection accept(IOSession session) {
        return new ProxyConnection(session, this, loop);
    }

    int maxConnections() {
        return maxConnections;
    }

    /**
     * Returns by how many the deployment's peers exceed the connections that are possible here at
     * once.
     */
    int peersBeyondLimit() {
        return Math.max(0, validator.peerCount() - maxConnections);
    }

    MessageValidator validator() {
        return validator;
    }

    ConnectionCloseLog closeLog() {
        return closeLog;
    }

    /** Returns the shared read buffer, cleared, for the connection that is being read. */
    ByteBuffer emptyReadChunk() {
        return readChunk.clear();
    }

    /**
     * Adds a connection if the limit allows it or the oldest unidentified connection can be closed
     * instead.
     */
    boolean admit(ProxyConnection arriving) {
        if (open.size() >= maxConnections && !closeOldestUnidentified()) {
            return false;
        }
        open.add(arriving);
        return true;
    }

    /**
     * Closes the oldest unidentified connection, if it has had time for its first message to be
     * read.
     *
     * @return whether a connection was closed
     */
    boolean closeOldestUnidentified() {
        ProxyConnection oldest =
                open.stream()
                        .filter(connection -> !connection.isIdentified())
                        .findFirst()
                        .orElse(null);
        if (oldest == null || oldest.ageMillis() < ProxyConnection.CROWDED_IDENTIFY_TIMEOUT_MS) {
            return false;
        }
        open.remove(oldest);
        oldest.close(CloseReason.CONNECTION_LIMIT, "");
        return true;
    }

    /**
     * Records the connection of a peer that has identified itself, and closes its previous one:
     * nothing else closes the connection of a machine that vanished.
     */
    void identified(PeerIdentity peer, ProxyConnection connection) {
        ProxyConnection before = newestByPeer.put(peer.label(), connection);
        if (before != null) {
            before.close(CloseReason.REPLACED, "");
        }
    }

    void remove(PeerIdentity peer, ProxyConnection connection) {
        open.remove(connection);
        newestByPeer.remove(peer.label(), connection);
    }
}
