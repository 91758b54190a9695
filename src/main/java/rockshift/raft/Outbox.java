package rockshift.raft;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The queue of outgoing messages. A message that depends on unwritten state is held until the write
 * of that state is durable; later messages that depend on no write, or on an earlier one, overtake
 * it.
 */
final class Outbox {
    private record DeferredMessage(long writeNumber, Message message) {}

    private final DurabilityTracker durability;
    private final ArrayDeque<DeferredMessage> deferred = new ArrayDeque<>();

    Outbox(DurabilityTracker durability) {
        this.durability = durability;
    }

    /** Sends a message that does not depend on durable state. */
    void send(Message message) {
        deferred.add(new DeferredMessage(0, message));
    }

    /**
     * Sends a message once all current state (term, vote, entries, snapshot) is durable. For vote
     * requests and their responses, rejected appends, and acknowledgements of entries or a snapshot
     * that are not durable yet.
     */
    void sendWhenDurable(Message message) {
        deferred.add(new DeferredMessage(durability.requiredWriteNumber(), message));
    }

    /**
     * Sends a message once the current term and vote are durable, without waiting for entries. For
     * acknowledgements of entries that are already durable.
     */
    void sendWhenTermDurable(Message message) {
        deferred.add(new DeferredMessage(durability.requiredWriteNumberForTerm(), message));
    }

    /**
     * Delivers the messages that need not wait any longer. Messages that are added during a
     * delivery are considered in the next call.
     *
     * @return whether any message was delivered
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

    /** Returns this object's part of {@link RaftNode#fingerprint}. */
    String fingerprint() {
        return deferred.toString();
    }
}
