package rockshift.distribution;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An intermediate reader: subscribes upstream, keeps the state and its history, and serves
 * subscribers of its own. It never votes. What it tells of its age downstream is what it knows of
 * it from upstream.
 */
public final class Relay {
    /**
     * What the host carries out: the subscriber's connection upstream, and the publisher's
     * downstream.
     */
    public interface Effects extends Publisher.Effects {
        /** See {@link Subscriber.Effects#connect}. */
        void connect(int upstream);

        /** See {@link Subscriber.Effects#disconnect}. */
        void disconnect(RejectionReason why, String place);

        /** See {@link Subscriber.Effects#send}. */
        void send(DistributionMessage message);

        /** See {@link Subscriber.Effects#notice}. */
        default void notice(RejectionReason reason, String place) {}
    }

    private final Effects effects;
    private final ConfigurationStore store;
    private final Publisher publisher;
    private final Subscriber subscriber;
    private long now;

    /**
     * A relay that holds nothing yet; the first {@link #tick} begins.
     *
     * @param scope what it holds, and so the most that it can serve
     * @param upstreams how many there are to choose from
     */
    public Relay(
            String name,
            Scope scope,
            int upstreams,
            Limits limits,
            RandomGenerator random,
            Effects effects) {
        this.effects = effects;
        this.store = new ConfigurationStore(limits.sizes());
        this.publisher = new Publisher(store, scope, limits, random, effects);
        this.subscriber =
                new Subscriber(
                        name, scope, upstreams, limits, random, new Upstream(), publisher::summary);
    }

    /** The connection upstream that was asked for is up. */
    public void upstreamConnected(long at) {
        now = at;
        subscriber.connected(at);
    }

    /** The connection upstream, or the attempt at one, has ended. */
    public void upstreamDisconnected(long at) {
        now = at;
        subscriber.disconnected(at);
    }

    /** A message came from upstream. */
    public void upstreamReceived(DistributionMessage message, long at) {
        now = at;
        subscriber.received(message, at);
        publisher.freshAt(subscriber.freshAtMillis());
    }

    /** The host could not read what came from upstream. */
    public void upstreamUndecodable(RejectionReason reason, String detail, long at) {
        now = at;
        subscriber.undecodable(reason, detail, at);
    }

    /** A connection from downstream came up. */
    public void connected(long connection, long at) {
        publisher.connected(connection, at);
    }

    /** A connection from downstream has ended. */
    public void disconnected(long connection, long at) {
        publisher.disconnected(connection, at);
    }

    /** A message came from downstream. */
    public void received(long connection, DistributionMessage message, long at) {
        publisher.received(connection, message, at);
    }

    /** The host could not read what came from downstream. */
    public void undecodable(long connection, RejectionReason reason, String detail, long at) {
        publisher.undecodable(connection, reason, detail, at);
    }

    /** Does what is due on both sides. To be called every 50 ms or so. */
    public void tick(long at) {
        now = at;
        subscriber.tick(at);
        publisher.tick(at);
    }

    /** What it holds. */
    public ConfigurationStore store() {
        return store;
    }

    /** Its downstream side. */
    public Publisher publisher() {
        return publisher;
    }

    /** Its upstream side. */
    public Subscriber subscriber() {
        return subscriber;
    }

    /** Takes what comes from upstream into the store, and hands it on. */
    private final class Upstream implements Subscriber.Effects {
        @Override
        public void connect(int upstream) {
            effects.connect(upstream);
        }

        @Override
        public void disconnect(RejectionReason why, String place) {
            effects.disconnect(why, place);
        }

        @Override
        public void send(DistributionMessage message) {
            effects.send(message);
        }

        @Override
        public void snapshot(Revision revision, List<Item> items) {
            try {
                store.reset(revision, items);
            } catch (RejectionException refusal) {
                throw new IllegalStateException(
                        "checked by the subscriber: " + refusal.getMessage(), refusal);
            }
            handOn(revision);
        }

        @Override
        public void difference(Revision revision, List<Update> updates) {
            try {
                store.apply(revision, updates);
            } catch (RejectionException refusal) {
                throw new IllegalStateException(
                        "checked by the subscriber: " + refusal.getMessage(), refusal);
            }
            handOn(revision);
        }

        @Override
        public void advanced(Revision revision) {
            difference(revision, List.of());
        }

        @Override
        public void notice(RejectionReason reason, String place) {
            effects.notice(reason, place);
        }

        private void handOn(Revision revision) {
            publisher.published(now);
            subscriber.acknowledged(revision, now);
        }
    }
}
