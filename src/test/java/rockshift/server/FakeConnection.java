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
 * A connection without a socket: a test hands over the bytes that arrive and the events of the
 * reactor, step by step, and sees what would have been written.
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

    /** Whether the controller has closed it. */
    boolean isClosed() {
        return closed;
    }

    /** The selector lets go of the connection, as it does in the moment that it ends. */
    void cancelKey() {
        keyCancelled = true;
    }

    /** Whole messages arrive in one piece. */
    FakeConnection receive(String... messages) throws Exception {
        StringBuilder all = new StringBuilder();
        for (String message : messages) {
            all.append(encoded(message));
        }
        return receiveBytes(all.toString());
    }

    /** The bytes of a message. */
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

    /** The reactor finds the connection readable though nothing has arrived: its peer's end. */
    void reportReadable() throws Exception {
        handler.inputReady(session, null);
    }

    /** The peer closes it, or the reactor reports that the controller's close is carried out. */
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

    /** What the controller has sent, as far as it could be written. */
    String sent() throws Exception {
        if (!closed) {
            handler.outputReady(session);
        }
        return written.toString();
    }
}
