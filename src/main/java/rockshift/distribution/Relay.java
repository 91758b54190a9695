package rockshift.distribution;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An intermediate node that subscribes upstream, stores the state and its history, and serves
 * downstream subscribers. It never votes. The age of its state that it reports downstream is the
 * age known from its upstream.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time.
 */
public final class Relay {
    /** Receives the notices of the upstream. */
    public interface NoticeListener {
        /** See {@link Subscriber.Listener#notice}. */
        void notice(RejectionReason reason, String detail);
    }

    private final ConfigurationStore store;
    private final Publisher publisher;
    private final Subscriber subscriber;
    private long nowMillis;

    /**
     * Creates a relay without a state; the first {@link #tick} starts it.
     *
     * @param scope the scope it subscribes to, and so the widest scope that it can serve
     * @param upstreams the number of upstreams to choose from
     */
    public Relay(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Subscriber.Transport upstream,
            Publisher.Transport downstream,
            NoticeListener notices) {
        this.store = new ConfigurationStore(limits.sizes());
        this.publisher = new Publisher(store, scope, limits, random, downstream);
        this.subscriber =
                new Subscriber(
                        name,
                        scope,
                        upstreams,
                        limits,
                        random,
                        upstream,
                        new StoreUpdater(notices),
                        publisher::summary);
    }

    /** Handles the establishment of the requested upstream connection. */
    public void upstreamConnected(long atMillis) {
        nowMillis = atMillis;
        subscriber.connected(atMillis);
    }

    /** Handles the end of the upstream connection, or a failed connection attempt. */
    public void upstreamDisconnected(long atMillis) {
        nowMillis = atMillis;
        subscriber.disconnected(atMillis);
    }

    /** Handles a message from upstream. */
    public void upstreamReceived(DistributionMessage message, long atMillis) {
        nowMillis = atMillis;
        subscriber.received(message, atMillis);
        publisher.storeFreshAt(subscriber.freshAtMillis());
    }

    /** Handles a message from upstream that the host could not decode. */
    public void upstreamUndecodable(RejectionReason reason, String detail, long atMillis) {
        nowMillis = atMillis;
        subscriber.undecodable(reason, detail, atMillis);
    }

    /** Runs the due timers of both sides. Must be called about every 50 ms. */
    public void tick(long atMillis) {
        nowMillis = atMillis;
        subscriber.tick(atMillis);
        publisher.tick(atMillis);
    }

    /** Returns the store with the relay's state. */
    public ConfigurationStore store() {
        return store;
    }

    /**
     * Returns the downstream side, to which the host passes the events of downstream connections.
     */
    public Publisher publisher() {
        return publisher;
    }

    /** Returns the upstream side. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Applies the upstream's snapshots and differences to the store and publishes them. */
    private final class StoreUpdater implements Subscriber.Listener {
        private final NoticeListener notices;

        StoreUpdater(NoticeListener notices) {
            this.notices = notices;
        }

        @Override
        public void snapshot(Revision revision, List<Item> items) {
            try {
                store.reset(revision, items);
            } catch (RejectionException unexpected) {
                throw unexpectedRejection(unexpected);
            }
            publish(revision);
        }

        @Override
        public void difference(Revision revision, List<Update> updates) {
            try {
                store.apply(revision, updates);
            } catch (RejectionException unexpected) {
                throw unexpectedRejection(unexpected);
            }
            publish(revision);
        }

        @Override
        public void advanced(Revision revision) {
            difference(revision, List.of());
        }

        @Override
        public void notice(RejectionReason reason, String detail) {
            notices.notice(reason, detail);
        }

        private void publish(Revision revision) {
            publisher.storeChanged(nowMillis);
            subscriber.acknowledged(revision, nowMillis);
        }

        private static IllegalStateException unexpectedRejection(RejectionException unexpected) {
            return new IllegalStateException(
                    "the store rejected a state that the subscriber had validated: "
                            + unexpected.getMessage(),
                    unexpected);
        }
    }
}
