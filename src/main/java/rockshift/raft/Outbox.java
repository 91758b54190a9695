package rockshift.raft;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Messages that wait to be sent, in order. One that promises something waits for the write that it
 * rests on; those behind it that need no write, or an earlier one, overtake it.
 */
final class Outbox {
    private record DeferredMessage(long writeNumber, Message message) {}

    private final DurabilityTracker durability;
    private final ArrayDeque<DeferredMessage> deferred = new ArrayDeque<>();

    Outbox(DurabilityTracker durability) {
        this.durability = durability;
    }

    /** Sends a message that promises nothing. */
    void send(Message message) {
        deferred.add(new DeferredMessage(0, message));
    }

    /**
     * Sends a message once all that is known now (term, vote, entries, snapshot) is durable:
     * requests of votes and their answers, rejected appends, and the acknowledgement of entries or
     * a snapshot that are not durable yet.
     */
    void sendWhenDurable(Message message) {
        deferred.add(new DeferredMessage(durability.writeNumberOfPromise(), message));
    }

    /**
     * Sends a message once the current term and vote are durable, and does not wait for entries:
     * the acknowledgement of entries that are durable already.
     */
    void sendWhenTermDurable(Message message) {
        deferred.add(new DeferredMessage(durability.writeNumberOfTermPromise(), message));
    }

    /**
     * Delivers what need not wait any longer. A delivery may add messages; these are looked at next
     * time.
     *
     * @return whether there was any
     */
    boolean release(Consumer<Message> delivery) {
        boolean released = false;
        for (int count = deferred.size(); count > 0; count--) {
            DeferredMessage first = deferred.removeFirst();
            if (first.writeNumber > durability.durableWriteNumber()) {
                deferred.addLast(first);
            } else {
                released = true;
                delivery.accept(first.message);
            }
        }
        return released;
    }

    /** The state that the next step depends on, for {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return deferred.toString();
    }
}
