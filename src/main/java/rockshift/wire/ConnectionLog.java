package rockshift.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs why connections of one sort ended or were refused: so many lines a second, and of those
 * beyond one line that counts them by reason. It keeps the totals by reason as well.
 */
public final class ConnectionLog {
    private static final int LINES_A_SECOND = 50;

    private final Logger log;
    private final String sort;
    private long countedSince = System.nanoTime();
    private int lines;
    private final Map<String, Integer> unlogged = new TreeMap<>();
    private final Map<String, Long> totals = new TreeMap<>();

    /**
     * @param sort what the lines call the connections
     */
    public ConnectionLog(Logger log, String sort) {
        this.log = log;
        this.sort = sort;
    }

    public synchronized void ended(Object who, String code, String about) {
        totals.merge(code, 1L, Long::sum);
        if (System.nanoTime() - countedSince > TimeUnit.SECONDS.toNanos(1)) {
            tellUnlogged();
            countedSince = System.nanoTime();
            lines = 0;
        }
        if (lines < LINES_A_SECOND) {
            lines++;
            log.info("closed {} connection {}: {} {}", sort, who, code, about);
        } else {
            unlogged.merge(code, 1, Integer::sum);
        }
    }

    private void tellUnlogged() {
        if (!unlogged.isEmpty()) {
            log.warn("closed {} connections without a line each: {}", sort, unlogged);
            unlogged.clear();
        }
    }

    /** Connections ended since the start, by reason. */
    public synchronized Map<String, Long> totals() {
        return new TreeMap<>(totals);
    }
}
