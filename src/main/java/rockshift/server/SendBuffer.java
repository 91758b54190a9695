package rockshift.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The messages that wait to be written to one connection, bounded in bytes. Any thread may offer a
 * message or clear the buffer; the reactor's thread alone writes.
 */
final class SendBuffer {
    private final ConcurrentLinkedQueue<ByteBuffer> messages = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unsentBytes = new AtomicInteger();

    /**
     * Adds a message unless more than a limit of bytes is unsent already. The message itself may
     * exceed the limit: a full table is longer than what may wait when the next message comes.
     */
    boolean offer(byte[] message, int limitBytes) {
        if (unsentBytes.getAndAdd(message.length) > limitBytes) {
            return false;
        }
        messages.add(ByteBuffer.wrap(message));
        return true;
    }

    /** Forgets what is unsent, as the connection has ended. */
    void clear() {
        messages.clear();
    }

    /** Writes what the socket takes, and asks to be called again while anything is left. */
    void writeTo(IOSession session) throws IOException {
        for (ByteBuffer next = messages.peek(); next != null; next = messages.peek()) {
            unsentBytes.addAndGet(-session.write(next));
            if (next.hasRemaining()) {
                return;
            }
            messages.remove();
        }
        session.clearEvent(SelectionKey.OP_WRITE);
        // A message offered since the last look may have set the event before it was cleared.
        if (!messages.isEmpty()) {
            session.setEvent(SelectionKey.OP_WRITE);
        }
    }
}
