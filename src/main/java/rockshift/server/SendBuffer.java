package rockshift.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.reactor.IOSession;
import rockshift.net.PeerMemory;

/**
 * The messages waiting to be written to one connection, with a limit in bytes. Any thread may offer
 * a message or clear the buffer; only the reactor's thread writes.
 */
final class SendBuffer {
    private final ConcurrentLinkedQueue<ByteBuffer> messages = new ConcurrentLinkedQueue<>();
    private final PeerMemory.Account account;
    private final AtomicInteger unsentBytes = new AtomicInteger();

    /** Creates an empty buffer that charges its messages to the account of the connection. */
    SendBuffer(PeerMemory.Account account) {
        this.account = account;
    }

    /**
     * Adds a message unless more than {@code limitBytes} are already unsent. The message itself may
     * exceed the limit, because a full table is longer than the limit for unsent bytes.
     *
     * @return false if it was not added; the connection must then be closed
     */
    boolean offer(byte[] message, int limitBytes) {
        if (unsentBytes.getAndAdd(message.length) > limitBytes) {
            return false;
        }
        if (!account.charge(message.length)) {
            return false;
        }
        messages.add(ByteBuffer.wrap(message));
        return true;
    }

    /** Discards the unsent messages, once the connection has ended. */
    void clear() {
        messages.clear();
    }

    /**
     * Writes as much as the socket accepts, and keeps the write event set while anything is left.
     */
    void writeTo(IOSession session) throws IOException {
        for (ByteBuffer next = messages.peek(); next != null; next = messages.peek()) {
            int written = session.write(next);
            unsentBytes.addAndGet(-written);
            account.release(written);
            if (next.hasRemaining()) {
                return;
            }
            // Not remove: another thread may have cleared the queue.
            messages.poll();
        }
        session.clearEvent(SelectionKey.OP_WRITE);
        // A message offered since the last peek may have set the event before it was cleared.
        if (!messages.isEmpty()) {
            session.setEvent(SelectionKey.OP_WRITE);
        }
    }
}
