package rockshift.cluster;

import java.util.random.RandomGenerator;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The address of another member, the connection to it if there is one, and the time of the next
 * attempt to connect. The member's thread decides when to connect; the reactor's thread reports the
 * result.
 */
final class OutgoingPeer implements FutureCallback<IOSession> {
    private static final Logger LOG = LoggerFactory.getLogger(OutgoingPeer.class);

    /**
     * The pause before the next attempt doubles from this to {@link #MAX_PAUSE_MS}; half of it is
     * random.
     */
    private static final long MIN_PAUSE_MS = 20;

    /** The longest pause between two attempts. */
    static final long MAX_PAUSE_MS = 1_000;

    private final String address;

    /** Publishes the open connection, or null, to the member's thread. */
    private volatile MemberConnection connection;

    /** Publishes to the member's thread whether an attempt to connect is in progress. */
    private volatile boolean connecting;

    /** The last pause; reset by the reactor's thread once connected. */
    private volatile long pauseMillis = MIN_PAUSE_MS;

    /** Used only by the member's thread. */
    private long nextConnectMillis;

    /** Whether the failure to connect was logged already. Used only by the reactor's thread. */
    private boolean failureLogged;

    OutgoingPeer(String address) {
        this.address = address;
    }

    /** Returns the open connection, or null. */
    MemberConnection connection() {
        return connection;
    }

    boolean isConnectDue(long nowMillis) {
        return connection == null && !connecting && nowMillis >= nextConnectMillis;
    }

    /** Records the start of an attempt, and the time of the next one. */
    void connectStarted(long nowMillis, RandomGenerator random) {
        connecting = true;
        long pause = Math.min(MAX_PAUSE_MS, 2 * pauseMillis);
        pauseMillis = pause;
        nextConnectMillis = nowMillis + pause / 2 + random.nextLong(pause / 2 + 1);
    }

    void connected(MemberConnection opened) {
        connection = opened;
        pauseMillis = MIN_PAUSE_MS;
        failureLogged = false;
    }

    void disconnected(MemberConnection closed) {
        if (connection == closed) {
            connection = null;
        }
    }

    @Override
    public void completed(IOSession session) {
        connecting = false;
    }

    @Override
    public void failed(Exception failure) {
        if (!failureLogged) {
            LOG.info(
                    "connecting to member failed address={} cause=\"{}\"",
                    address,
                    failure.getMessage());
        }
        failureLogged = true;
        connecting = false;
    }

    @Override
    public void cancelled() {
        connecting = false;
    }
}
