package rockshift.server;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import org.apache.hc.core5.reactor.IOSession;
import rockshift.settings.PlannerSettings;

/**
 * The open connections of proxies, collectors and unidentified peers: how many there may be, and
 * which one is a peer's newest. Used by the reactor's thread alone, but for what is immutable.
 */
final class ProxyConnections {
    /** Bytes read from one connection before the others have their turn. */
    private static final int READ_CHUNK_BYTES = 1 << 16;

    /**
     * Descriptors that no peer gets: 24 of the program's own, two calls of discovery, and
     * connections that are being accepted or closed.
     */
    private static final int RESERVED_DESCRIPTORS = 48;

    private final EventLoop loop;
    private final MessageValidator validator;
    private final int maxConnections;
    private final ByteBuffer readChunk = ByteBuffer.allocate(READ_CHUNK_BYTES);
    private final PartialMessageBudget partialMessages = new PartialMessageBudget();
    private final ConnectionCloseLog closeLog = new ConnectionCloseLog();

    /** In the order in which they were accepted. */
    private final LinkedHashSet<ProxyConnection> open = new LinkedHashSet<>();

    /** The newest connection of each identified peer, by the peer's label. */
    private final Map<String, ProxyConnection> newest = new HashMap<>();

    ProxyConnections(EventLoop loop, PlannerSettings settings, int descriptors) {
        this.loop = loop;
        validator = new MessageValidator(settings);
        maxConnections = Math.max(1, descriptors - RESERVED_DESCRIPTORS);
    }

    /** The handler of a connection that the reactor has taken over. */
    ProxyConnection accept(IOSession session) {
        return new ProxyConnection(session, this, loop);
    }

    int maxConnections() {
        return maxConnections;
    }

    /** How many of the deployment's peers could not be connected here all at once. */
    int peersBeyondLimit() {
        return Math.max(0, validator.peerCount() - maxConnections);
    }

    MessageValidator validator() {
        return validator;
    }

    PartialMessageBudget partialMessages() {
        return partialMessages;
    }

    ConnectionCloseLog closeLog() {
        return closeLog;
    }

    /** The buffer into which the connection that is being read reads; empty. */
    ByteBuffer emptyReadChunk() {
        return readChunk.clear();
    }

    /**
     * Adds a connection if there is room or the oldest unidentified one can be closed to make room.
     * That one is left the time to have its first message read.
     */
    boolean admit(ProxyConnection arriving) {
        if (open.size() >= maxConnections) {
            ProxyConnection oldest =
                    open.stream()
                            .filter(connection -> !connection.isIdentified())
                            .findFirst()
                            .orElse(arriving);
            if (oldest.ageMillis() < ProxyConnection.CROWDED_IDENTIFY_TIMEOUT_MS) {
                return false;
            }
            open.remove(oldest);
            oldest.close(CloseReason.CONNECTION_LIMIT, "");
        }
        open.add(arriving);
        return true;
    }

    /**
     * Notes the connection of a peer that has identified itself, and closes the one it had before:
     * nothing else ends the connection of a machine that vanished.
     */
    void identified(PeerIdentity peer, ProxyConnection connection) {
        ProxyConnection before = newest.put(peer.label(), connection);
        if (before != null) {
            before.close(CloseReason.REPLACED, "");
        }
    }

    void remove(PeerIdentity peer, ProxyConnection connection) {
        open.remove(connection);
        newest.remove(peer.label(), connection);
    }
}
