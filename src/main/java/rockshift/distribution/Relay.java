package rockshift.distribution;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An intermediate reader: subscribes upstream, keeps the state and its history, and serves
 * subscribers of its own. It never votes. The age of its state that it tells downstream is the one
 * that it knows from upstream.
 *
 * <p>Not thread-safe: the host calls it from one thread at a time.
 */
public final class Relay {
    /** Hears what the upstream tells while the subscription goes on. */
    public interface NoticeListener {
        /** See {@link Subscriber.Listener#notice}. */
        void notice(RejectionReason reason, String detail);
    }

    private final ConfigurationStore store;
    private final Publisher publisher;
    private final Subscriber subscriber;
    private long nowMillis;

    /**
     * A relay without a state; the first {@link #tick} begins.
     *
     * @param scope what it subscribes to, and so the most that it can serve
     * @param upstreams how many there are to choose from
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

    /** The connection upstream that was asked for is up. */
    public void upstreamConnected(long atMillis) {
        nowMillis = atMillis;
        subscriber.connected(atMillis);
    }

    /** The connection upstream, or the attempt at one, has ended. */
    public void upstreamDisconnected(long atMillis) {
        nowMillis = atMillis;
        subscriber.disconnected(atMillis);
    }

    /** A message came from upstream. */
    public void upstreamReceived(DistributionMessage message, long atMillis) {
        nowMillis = atMillis;
        subscriber.received(message, atMillis);
        publisher.freshAt(subscriber.freshAtMillis());
    }

    /** The host could not decode a message from upstream. */
    public void upstreamUndecodable(RejectionReason reason, String detail, long atMillis) {
        nowMillis = atMillis;
        subscriber.undecodable(reason, detail, atMillis);
    }

    /** Does what is due on both sides. To be called every 50 ms or so. */
    public void tick(long atMillis) {
        nowMillis = atMillis;
        subscriber.tick(atMillis);
        publisher.tick(atMillis);
    }

    /** Its state. */
    public ConfigurationStore store() {
        return store;
    }

    /** Its downstream side, to which the host hands the events of subscribers' connections. */
    public Publisher publisher() {
        return publisher;
    }

    /** Its upstream side. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Applies what comes from upstream to the store, and publishes it. */
    private final class StoreUpdater implements Subscriber.Listener {
        private final NoticeListener notices;

        StoreUpdater(NoticeListener notices) {
            this.notices = notices;
        }

        @Override
        public void snapshot(Revision revision, List<Item> items) {
            try {
                store.reset(revision, items);
            } catch (RejectionException impossible) {
                throw checkedBefore(impossible);
            }
            publish(revision);
        }

        @Override
        public void difference(Revision revision, List<Update> updates) {
            try {
                store.apply(revision, updates);
            } catch (RejectionException impossible) {
                throw checkedBefore(impossible);
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
            publisher.published(nowMillis);
            subscriber.acknowledged(revision, nowMillis);
        }

        private static IllegalStateException checkedBefore(RejectionException impossible) {
            return new IllegalStateException(
                    "checked by the subscriber: " + impossible.getMessage(), impossible);
        }
    }
}
