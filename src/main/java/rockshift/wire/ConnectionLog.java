package rockshift.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs why connections of one kind ended or were refused, with a limit of lines per second: what
 * exceeds it is counted by reason in one line. Guards against a log that a flood of connections
 * fills. It keeps the totals by reason as well. Any thread may use it.
 */
public final class ConnectionLog {
    private static final int MAX_LINES_PER_SECOND = 50;

    private final Logger log;
    private final String kind;
    private long secondStartNanos = System.nanoTime();
    private int lines;
    private final Map<String, Integer> unlogged = new TreeMap<>();
    private final Map<String, Long> totals = new TreeMap<>();

    /**
     * A log of one kind of connection.
     *
     * @param kind what the lines call the connections
     */
    public ConnectionLog(Logger log, String kind) {
        this.log = log;
        this.kind = kind;
    }

    /** A connection ended; the line is left out if there are too many. */
    public synchronized void ended(Object peer, String code, String detail) {
        totals.merge(code, 1L, Long::sum);
        if (System.nanoTime() - secondStartNanos > TimeUnit.SECONDS.toNanos(1)) {
            logUnlogged();
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
            unlogged.merge(code, 1, Integer::sum);
        }
    }

    private void logUnlogged() {
        if (!unlogged.isEmpty()) {
            log.warn("closed {} connections, not logged each: {}", kind, unlogged);
            unlogged.clear();
        }
    }

    /** Connections ended since the start, by reason. */
    public synchronized Map<String, Long> totals() {
        return new TreeMap<>(totals);
    }
}
