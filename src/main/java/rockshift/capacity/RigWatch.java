package rockshift.capacity;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Notices where this program itself was held up: a thread that wakes at an interval, and how late
 * it was at most.
 */
final class RigWatch implements AutoCloseable {
    private static final long INTERVAL_MILLIS = 50;

    private final AtomicLong latest = new AtomicLong();
    private final Thread thread = new Thread(this::watch, "rig-watch");

    RigWatch() {
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        try {
            for (long due = HollowController.now() + INTERVAL_MILLIS;
                    ;
                    due = HollowController.now() + INTERVAL_MILLIS) {
                TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                latest.accumulateAndGet(HollowController.now() - due, Math::max);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    /** The longest that the thread was held up so far, in ms. */
    long latestMillis() {
        return latest.get();
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
