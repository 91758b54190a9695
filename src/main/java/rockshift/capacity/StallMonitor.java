package rockshift.capacity;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects stalls of this program with a thread that wakes at a fixed interval and records its
 * longest delay.
 */
final class StallMonitor implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 50;

    private final AtomicLong longestMillis = new AtomicLong();
    private final Thread thread = new Thread(this::run, "rig-watch");

    StallMonitor() {
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            for (long dueMillis = LightweightController.nowMillis() + INTERVAL_MILLIS;
                    ;
                    dueMillis = LightweightController.nowMillis() + INTERVAL_MILLIS) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                longestMillis.accumulateAndGet(
                        LightweightController.nowMillis() - dueMillis, Math::max);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest stall so far. */
    long longestStallMillis() {
        return longestMillis.get();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
