package rockshift.capacity;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Notices where this program itself was held up: a thread that wakes at an interval, and how late
 * it was at most.
 */
final class StallMonitor implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 50;

    private final AtomicLong longestMillis = new AtomicLong();
    private final Thread thread = new Thread(this::watch, "rig-watch");

    StallMonitor() {
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            for (long due = LightweightController.nowMillis() + INTERVAL_MILLIS;
                    ;
                    due = LightweightController.nowMillis() + INTERVAL_MILLIS) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                longestMillis.accumulateAndGet(LightweightController.nowMillis() - due, Math::max);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest that the thread was held up so far, in ms. */
    long longestStallMillis() {
        return longestMillis.get();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
