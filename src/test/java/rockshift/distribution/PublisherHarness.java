package rockshift.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A store with its publisher; records what was sent and closed on each connection. */
final class PublisherHarness implements Publisher.Transport {
    final ConfigurationStore store;
    final Publisher publisher;
    final Map<Long, RejectionReason> closed = new HashMap<>();
    private final Map<Long, List<DistributionMessage>> sent = new HashMap<>();

    PublisherHarness(Limits limits) throws RejectionException {
        this(limits, Scope.all());
    }

    PublisherHarness(Limits limits, Scope served) throws RejectionException {
        store = new ConfigurationStore(limits.sizes());
        store.reset(AgreedHistory.revision(0), List.of());
        publisher = new Publisher(store, served, limits, new SplittableRandom(1), this);
    }

    @Override
    public void send(long connection, DistributionMessage message) {
        sent.computeIfAbsent(connection, any -> new ArrayList<>()).add(message);
    }

    @Override
    public void close(long connection, RejectionReason reason, String detail) {
        closed.put(connection, reason);
    }

    /** Applies items at the next revision and publishes it. */
    void put(long now, Item... items) throws RejectionException {
        long next = store.current().number() + 1;
        List<Update> updates = new ArrayList<>();
        for (Item item : items) {
            updates.add(Update.put(next, item));
        }
        store.apply(AgreedHistory.revision(next), updates);
        publisher.storeChanged(now);
        publisher.storeFreshAt(now);
    }

    /** Connects and subscribes; returns the messages sent in reply. */
    List<DistributionMessage> subscribe(
            long connection, String name, Scope scope, Revision held, long now) {
        publisher.connected(connection, now);
        publisher.received(
                connection, new DistributionMessage.Subscribe(name, 1, scope, held, now), now);
        return take(connection);
    }

    /** Acknowledges a revision as a single controller. */
    void acknowledge(long connection, String name, long number, long now) {
        acknowledge(connection, name, number, 0, now);
    }

    void acknowledge(long connection, String name, long number, int parts, long now) {
        Revision inForce = parts > 0 ? Revision.NONE : AgreedHistory.revision(number);
        publisher.received(
                connection,
                new DistributionMessage.Acknowledge(
                        1, inForce, parts, Summary.ofOne(name, inForce.number()), now),
                now);
    }

    /** Returns and removes the messages sent on a connection. */
    List<DistributionMessage> take(long connection) {
        List<DistributionMessage> taken = sent.remove(connection);
        return taken == null ? List.of() : taken;
    }

    /**
     * Removes the messages sent on a connection and returns the reason of the last rejection among
     * them; null if there is none.
     */
    RejectionReason rejected(long connection) {
        RejectionReason reason = null;
        for (DistributionMessage message : take(connection)) {
            if (message instanceof DistributionMessage.Rejected rejected) {
                reason = rejected.reason();
            }
        }
        return reason;
    }

    static <T> List<T> of(Class<T> type, List<DistributionMessage> messages) {
        return messages.stream().filter(type::isInstance).map(type::cast).toList();
    }
}
