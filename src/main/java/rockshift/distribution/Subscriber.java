package rockshift.distribution;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The upstream side of a governor or relay: keeps one subscription going over a choice of upstreams. */
public final class Subscriber {
    /** What the host carries out. Calls into the subscriber from within these are not allowed, but for {@link #acknowledged}. */
    public interface Effects {
        /** Opens a connection to an upstream, by its place in the host's list; answered by connected or disconnected. */
        void connect(int upstream);

        /** Ends the connection, or the attempt at one. No {@link #disconnected} need follow. */
        void disconnect(RejectionReason why, String place);

        void send(DistributionMessage message);

        /** A whole state takes the place of what was held. */
        void snapshot(Revision revision, List<Item> items);

        /** Updates to what was held. */
        void difference(Revision revision, List<Update> updates);

        /** What was held stands unchanged at a later revision. */
        default void advanced(Revision revision) {}

        /** The upstream tells something while the subscription goes on. */
        default void notice(RejectionReason reason, String place) {}
    }

    /**
     * A subscriber that holds nothing and is not connected; the first {@link #tick} begins.
     *
     * @param upstreams how many there are to choose from
     */
    public Subscriber(String name, Scope scope, int upstreams, Limits limits, RandomGenerator random,
            Effects effects) {}

    /** Takes up what was kept from an earlier run, before the first tick; it counts as in force. */
    public void restore(Revision revision, Collection<Item> items) {
        throw new UnsupportedOperationException();
    }

    /** The connection that was asked for is up. */
    public void connected(long now) {
        throw new UnsupportedOperationException();
    }

    /** The connection, or the attempt at one, has ended. */
    public void disconnected(long now) {
        throw new UnsupportedOperationException();
    }

    /** A message came over the connection. */
    public void received(DistributionMessage message, long now) {
        throw new UnsupportedOperationException();
    }

    /** The host could not read what came: counts it and ends the connection. */
    public void refused(RejectionReason reason, String place, long now) {
        throw new UnsupportedOperationException();
    }

    /** What was handed over as this revision is in force. */
    public void acknowledged(Revision revision, long now) {
        throw new UnsupportedOperationException();
    }

    /** Does what is due: silence, reconnection. To be called every 50 ms or so. */
    public void tick(long now) {
        throw new UnsupportedOperationException();
    }

    /** Asks for another scope from now on. */
    public void scope(Scope scope, long now) {
        throw new UnsupportedOperationException();
    }

    /** Staff decided to follow another cluster: what is held stays until its first snapshot. */
    public void adopt(long cluster, long now) {
        throw new UnsupportedOperationException();
    }

    /** What is held. */
    public Revision held() {
        throw new UnsupportedOperationException();
    }

    /** What is held was the newest there is at this time, by the clock that is handed in; the lowest long if it never was. */
    public long freshAt() {
        throw new UnsupportedOperationException();
    }

    /** How old what is held may be, in milliseconds. */
    public long age(long now) {
        throw new UnsupportedOperationException();
    }

    /** Whether a subscription stands, so that what is held is kept up. */
    public boolean subscribed() {
        throw new UnsupportedOperationException();
    }

    /** How often each reason was given, by either side. */
    public Map<RejectionReason, Long> rejections() {
        throw new UnsupportedOperationException();
    }
}
