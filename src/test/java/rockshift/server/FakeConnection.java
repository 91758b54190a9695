package rockshift.server;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A connection without a socket. A test supplies the received bytes and the events of the reactor
 * step by step, and reads what would have been written.
 */
final class FakeConnection {
    private final IOEventHandler handler;
    private final ArrayDeque<byte[]> incoming = new ArrayDeque<>();
    private final StringBuilder written = new StringBuilder();
    private final IOSession session =
            (IOSession)
                    Proxy.newProxyInstance(
                            IOSession.class.getClassLoader(),
                            new Class<?>[] {IOSession.class},
                            (self, method, arguments) ->
                                    switch (method.getName()) {
                                        case "read" -> read((ByteBuffer) arguments[0]);
                                        case "write" -> write((ByteBuffer) arguments[0]);
                                        case "setEvent" -> setEvent();
                                        case "close" -> close();
                                        case "getRemoteAddress" ->
                                                new InetSocketAddress(
                                                        InetAddress.getLoopbackAddress(), 9);
                                        case "toString" -> "fake session";
                                        case "hashCode" -> System.identityHashCode(self);
                                        case "equals" -> self == arguments[0];
                                        default -> null;
                                    });

    private boolean keyCancelled;
    private boolean closed;
    private boolean disconnectReported;

    FakeConnection(ProxyConnections connections) throws Exception {
        handler = connections.accept(session);
        handler.connected(session);
    }

    private Object read(ByteBuffer into) {
        byte[] next = incoming.poll();
        if (next == null) {
            return -1;
        }
        into.put(next);
        return next.length;
    }

    private Object write(ByteBuffer from) {
        int count = from.remaining();
        written.append(StandardCharsets.US_ASCII.decode(from));
        return count;
    }

    private Object setEvent() {
        if (keyCancelled) {
            throw new CancelledKeyException();
        }
        return null;
    }

    private Object close() {
        closed = true;
        return null;
    }

    /** Returns whether the controller has closed the connection. */
    boolean isClosed() {
        return closed;
    }

    /** Cancels the connection's selection key, as the selector does when the connection ends. */
    void cancelKey() {
        keyCancelled = true;
    }

    /** Delivers whole messages in one read. */
    FakeConnection receive(String... messages) throws Exception {
        StringBuilder all = new StringBuilder();
        for (String message : messages) {
            all.append(encoded(message));
        }
        return receiveBytes(all.toString());
    }

    /** Returns the encoded form of a message. */
    static String encoded(String message) {
        return new String(
                RespCodec.message(List.of(message.split(" "))), StandardCharsets.US_ASCII);
    }

    FakeConnection receiveBytes(String text) throws Exception {
        incoming.add(text.getBytes(StandardCharsets.US_ASCII));
        if (!closed) {
            handler.inputReady(session, null);
        }
        return this;
    }

    /**
     * Reports the connection as readable without any bytes, which means that the peer has closed
     * it.
     */
    void reportReadable() throws Exception {
        handler.inputReady(session, null);
    }

    /** Closes the connection by the peer, or reports that the controller's close is complete. */
    void disconnect() throws Exception {
        if (!closed) {
            incoming.clear();
            handler.inputReady(session, null);
        }
        if (!disconnectReported) {
            disconnectReported = true;
            handler.disconnected(session);
        }
    }

    /** Returns what the controller has sent, as far as it could be written. */
    String sent() throws Exception {
        if (!closed) {
            handler.outputReady(session);
        }
        return written.toString();
    }
}
