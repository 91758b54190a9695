package rockshift.distribution;

import java.util.random.RandomGenerator;

/** An intermediate reader: subscribes upstream, keeps the state and its history, and serves subscribers of its own. It never votes. */
public final class Relay {
    /** What the host carries out: the subscriber's connection upstream, and the publisher's downstream. */
    public interface Effects extends Publisher.Effects {
        void connect(int upstream);

        void disconnect(RejectionReason why, String place);

        void send(DistributionMessage message);

        default void notice(RejectionReason reason, String place) {}
    }

    public Relay(String name, Scope scope, int upstreams, Limits limits, RandomGenerator random,
            Effects effects) {}

    public void upstreamConnected(long now) {
        throw new UnsupportedOperationException();
    }

    public void upstreamDisconnected(long now) {
        throw new UnsupportedOperationException();
    }

    public void upstreamReceived(DistributionMessage message, long now) {
        throw new UnsupportedOperationException();
    }

    public void upstreamRefused(RejectionReason reason, String place, long now) {
        throw new UnsupportedOperationException();
    }

    public void connected(long connection, long now) {
        throw new UnsupportedOperationException();
    }

    public void disconnected(long connection, long now) {
        throw new UnsupportedOperationException();
    }

    public void received(long connection, DistributionMessage message, long now) {
        throw new UnsupportedOperationException();
    }

    public void refused(long connection, RejectionReason reason, String place, long now) {
        throw new UnsupportedOperationException();
    }

    public void tick(long now) {
        throw new UnsupportedOperationException();
    }

    public ConfigurationStore store() {
        throw new UnsupportedOperationException();
    }

    public Publisher publisher() {
        throw new UnsupportedOperationException();
    }

    public Subscriber subscriber() {
        throw new UnsupportedOperationException();
    }
}
