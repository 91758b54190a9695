package rockshift.cluster;

import java.util.random.RandomGenerator;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.reactor.IOSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Another member's address, its connection if there is one, and when to dial it next. The member's
 * thread decides when to dial; the reactor's thread reports what came of it.
 */
final class OutgoingPeer implements FutureCallback<IOSession> {
    private static final Logger LOG = LoggerFactory.getLogger(OutgoingPeer.class);

    /** The pause between two dials doubles from the first to the last; half of it is random. */
    private static final long MIN_PAUSE_MS = 20;

    private static final long MAX_PAUSE_MS = 1_000;

    private final String address;

    /** Publishes the open connection, or null, to the member's thread. */
    private volatile MemberConnection connection;

    /** Publishes to the member's thread whether a dial is under way. */
    private volatile boolean dialling;

    /** Publishes to the member's thread that the pauses begin anew after a connection. */
    private volatile long pauseMillis = MIN_PAUSE_MS;

    /** Used by the member's thread alone. */
    private long nextDialMillis;

    /** Whether the failure to reach it was logged. Used by the reactor's thread alone. */
    private boolean failureLogged;

    OutgoingPeer(String address) {
        this.address = address;
    }

    /** The open connection, or null. */
    MemberConnection connection() {
        return connection;
    }

    boolean isDialDue(long nowMillis) {
        return connection == null && !dialling && nowMillis >= nextDialMillis;
    }

    /** Notes that a dial begins, and when the next one may. */
    void dialStarted(long nowMillis, RandomGenerator random) {
        dialling = true;
        long pause = Math.min(MAX_PAUSE_MS, 2 * pauseMillis);
        pauseMillis = pause;
        nextDialMillis = nowMillis + pause / 2 + random.nextLong(pause / 2 + 1);
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
        dialling = false;
    }

    @Override
    public void failed(Exception failure) {
        if (!failureLogged) {
            LOG.info("member not reached address={} cause=\"{}\"", address, failure.getMessage());
        }
        failureLogged = true;
        dialling = false;
    }

    @Override
    public void cancelled() {
        dialling = false;
    }
}
