package rockshift.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs why connections of one kind were closed or refused, with a limit of lines per second.
 * Connections beyond the limit are counted by reason in one line, so that a flood of connections
 * does not fill the log. Also keeps the totals by reason. Thread-safe.
 */
public final class ConnectionLog {
    private static final int MAX_LINES_PER_SECOND = 50;

    private final Logger log;
    private final String kind;
    private long secondStartNanos = System.nanoTime();
    private int lines;
    private final Map<String, Integer> suppressedByReason = new TreeMap<>();
    private final Map<String, Long> totals = new TreeMap<>();

    /**
     * Creates a log for one kind of connection.
     *
     * @param kind the name of the connections in log lines
     */
    public ConnectionLog(Logger log, String kind) {
        this.log = log;
        this.kind = kind;
    }

    /** Records that a connection was closed. No line is logged if there are too many. */
    public synchronized void connectionClosed(Object peer, String code, String detail) {
        totals.merge(code, 1L, Long::sum);
        if (System.nanoTime() - secondStartNanos > TimeUnit.SECONDS.toNanos(1)) {
            logSuppressed();
            secondStartNanos = System.nanoTime();
            lines = 0;
        }
        if (lines < MAX_LINES_PER_SECOND) {
            lines++;
            log.info(
                    "closed {} connection peer={} reason={} detail=\"{}\"",
                    kind,
                    peer,
                    code,
                    detail);
        } else {
            suppressedByReason.merge(code, 1, Integer::sum);
        }
    }

    private void logSuppressed() {
        if (!suppressedByReason.isEmpty()) {
            log.warn(
                    "closed {} connections, not logged individually: countByReason={}",
                    kind,
                    suppressedByReason);
            suppressedByReason.clear();
        }
    }

    /** Returns the number of connections closed since the start, by reason. */
    public synchronized Map<String, Long> totals() {
        return new TreeMap<>(totals);
    }
}
