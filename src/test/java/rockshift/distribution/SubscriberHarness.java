package rockshift.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A subscriber whose calls to its host are recorded, with a controller state that acknowledges
 * every delivery at once.
 */
final class SubscriberHarness implements Subscriber.Transport, Subscriber.Listener {
    final Subscriber subscriber;
    final List<DistributionMessage> sent = new ArrayList<>();
    final List<Integer> connectAttempts = new ArrayList<>();
    final List<RejectionReason> disconnects = new ArrayList<>();
    final List<RejectionReason> notices = new ArrayList<>();
    final Map<String, Item> items = new TreeMap<>();
    private long now;

    SubscriberHarness(Scope scope, int upstreams, Limits limits) {
        subscriber =
                new Subscriber("g", scope, upstreams, limits, new SplittableRandom(1), this, this);
    }

    /** Advances the time until the subscriber requests a connection, and establishes it. */
    void connectAfter(long from) {
        int before = connectAttempts.size();
        for (now = from; connectAttempts.size() == before; now++) {
            subscriber.tick(now);
        }
        subscriber.connected(now);
    }

    long now() {
        return now;
    }

    void receive(DistributionMessage message) {
        subscriber.received(message, now);
    }

    void receive(List<DistributionMessage> messages) {
        messages.forEach(this::receive);
    }

    <T> T last(Class<T> type) {
        List<T> matching = PublisherHarness.of(type, sent);
        return matching.get(matching.size() - 1);
    }

    /** Delivers a snapshot in one part and a heartbeat that confirms it. */
    void receiveState(long number, Item... newItems) {
        receive(snapshot(number, newItems));
        receive(heartbeat(number, digest(List.of(newItems))));
    }

    static DistributionMessage.SnapshotPart snapshot(long number, Item... newItems) {
        return new DistributionMessage.SnapshotPart(
                1,
                AgreedHistory.revision(number),
                0,
                1,
                digest(List.of(newItems)),
                List.of(newItems));
    }

    DistributionMessage.Heartbeat heartbeat(long number, long digest) {
        return new DistributionMessage.Heartbeat(1, AgreedHistory.revision(number), digest, 0, now);
    }

    static long digest(Iterable<Item> items) {
        long digest = 0;
        for (Item item : items) {
            digest += item.digest();
        }
        return digest;
    }

    @Override
    public void connect(int upstream) {
        connectAttempts.add(upstream);
    }

    @Override
    public void disconnect(RejectionReason reason, String detail) {
        disconnects.add(reason);
    }

    @Override
    public void send(DistributionMessage message) {
        sent.add(message);
    }

    @Override
    public void snapshot(Revision revision, List<Item> newItems) {
        items.clear();
        newItems.forEach(item -> items.put(item.key(), item));
        subscriber.acknowledged(revision, now);
    }

    @Override
    public void difference(Revision revision, List<Update> updates) {
        for (Update update : updates) {
            if (update.deleted()) {
                items.remove(update.item().key());
            } else {
                items.put(update.item().key(), update.item());
            }
        }
        subscriber.acknowledged(revision, now);
    }

    @Override
    public void notice(RejectionReason reason, String detail) {
        notices.add(reason);
    }
}
