package rockshift.server;

import java.net.SocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs why connections were closed and messages dropped. Each identified peer gets a line. Lines
 * for unidentified connections are limited per second, because thousands may connect per second and
 * would fill the log; the others are counted by reason in a line that precedes the next one. Used
 * only by the reactor's thread.
 */
final class ConnectionCloseLog {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionCloseLog.class);

    private static final int MAX_UNIDENTIFIED_LINES_PER_SECOND = 50;

    /** Maximum length of text from a peer in the log. */
    private static final int MAX_DETAIL_CHARACTERS = 100;

    private long secondStartedNanos = System.nanoTime();
    private int linesThisSecond;
    private final Map<String, Integer> suppressedByReason = new TreeMap<>();

    /**
     * Returns a detail in a form that is safe to log: truncated, on one line, without control
     * characters.
     */
    static String printable(String detail) {
        return detail.substring(0, Math.min(MAX_DETAIL_CHARACTERS, detail.length()))
                .replaceAll("\\p{Cntrl}", "?");
    }

    void closed(
            PeerIdentity peer,
            SocketAddress remote,
            CloseReason reason,
            String detail,
            int droppedMessages) {
        if (!peer.isIdentified() && !mayLogUnidentified(reason)) {
            return;
        }
        LOG.info(
                "closed connection peer={} remote={} reason={}{}{}",
                peer.label(),
                remote,
                reason,
                detail.isEmpty() ? "" : " detail=\"" + detail + "\"",
                droppedMessages > 0 ? " droppedMessages=" + droppedMessages : "");
    }

    void dropped(PeerIdentity peer, InvalidMessageException invalid) {
        LOG.warn(
                "dropped message peer={} reason={} detail=\"{}\"",
                peer.label(),
                invalid.reason(),
                printable(invalid.getMessage()));
    }

    void failed(PeerIdentity peer, Exception failure) {
        LOG.error("connection failed peer={}", peer.label(), failure);
    }

    private boolean mayLogUnidentified(CloseReason reason) {
        if (System.nanoTime() - secondStartedNanos > TimeUnit.SECONDS.toNanos(1)) {
            if (!suppressedByReason.isEmpty()) {
                LOG.warn(
                        "closed unidentified connections, not logged individually:"
                                + " countByReason={}",
                        suppressedByReason);
            }
            suppressedByReason.clear();
            secondStartedNanos = System.nanoTime();
            linesThisSecond = 0;
        }
        if (linesThisSecond++ < MAX_UNIDENTIFIED_LINES_PER_SECOND) {
            return true;
        }
        suppressedByReason.merge(reason.toString(), 1, Integer::sum);
        return false;
    }
}
