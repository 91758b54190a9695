package rockshift.distribution;

import java.util.Map;
import java.util.random.RandomGenerator;

/** The downstream side of a member or relay: serves subscribers from a store. Connections are numbered by the host. */
public final class Publisher {
    /** What the host carries out. Calls into the publisher from within these are not allowed. */
    public interface Effects {
        void send(long connection, DistributionMessage message);

        /** Ends a connection once all sent to it is written. No {@link #disconnected} need follow. */
        void close(long connection, RejectionReason why, String place);
    }

    /**
     * A publisher without subscribers.
     *
     * @param store what it serves; the owner changes it and then calls {@link #published}
     * @param served what the store holds: wider scopes are refused
     */
    public Publisher(ConfigurationStore store, Scope served, Limits limits, RandomGenerator random,
            Effects effects) {}

    /** A connection came up. */
    public void connected(long connection, long now) {
        throw new UnsupportedOperationException();
    }

    /** A connection has ended. Unknown ones are ignored. */
    public void disconnected(long connection, long now) {
        throw new UnsupportedOperationException();
    }

    /** A message came. Those of connections already closed are ignored. */
    public void received(long connection, DistributionMessage message, long now) {
        throw new UnsupportedOperationException();
    }

    /** The host could not read what came: counts it, tells the subscriber, ends the connection. */
    public void refused(long connection, RejectionReason reason, String place, long now) {
        throw new UnsupportedOperationException();
    }

    /** The store has changed. */
    public void published(long now) {
        throw new UnsupportedOperationException();
    }

    /** What the store holds was the newest there is at this time; a member says so while it follows a leader, else leaves it. */
    public void freshAt(long atMillis) {
        throw new UnsupportedOperationException();
    }

    /** Does what is due: heartbeats, silent connections, changes that waited. To be called every 50 ms or so. */
    public void tick(long now) {
        throw new UnsupportedOperationException();
    }

    /** What is in force below. */
    public Summary summary() {
        throw new UnsupportedOperationException();
    }

    /** How often each reason was given. */
    public Map<RejectionReason, Long> rejections() {
        throw new UnsupportedOperationException();
    }

    /** Connections open, subscribed or not. */
    public int connections() {
        throw new UnsupportedOperationException();
    }
}
