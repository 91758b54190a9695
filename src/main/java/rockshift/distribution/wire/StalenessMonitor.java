package rockshift.distribution.wire;

import java.util.function.LongConsumer;

/**
 * Reports when the state of a subscriber has become older than is tolerated, and when it is up to
 * date again. Owned by the subscriber's thread.
 */
final class StalenessMonitor {
    private final long toleratedMillis;
    private final long startedAtMillis;
    private final LongConsumer onStale;
    private final LongConsumer onFreshAgain;
    private long lastFreshAtMillis;
    private boolean stale;

    /**
     * A monitor that begins now.
     *
     * @param toleratedMillis how old the state may be
     * @param onStale gets the age of the state, in milliseconds
     * @param onFreshAgain gets for how long nothing newer came, in milliseconds
     */
    StalenessMonitor(
            long toleratedMillis, long nowMillis, LongConsumer onStale, LongConsumer onFreshAgain) {
        this.toleratedMillis = toleratedMillis;
        this.startedAtMillis = nowMillis;
        this.lastFreshAtMillis = nowMillis;
        this.onStale = onStale;
        this.onFreshAgain = onFreshAgain;
    }

    /**
     * Reports a change, once.
     *
     * @param freshAtMillis when the state was the newest; the lowest long if it never was
     */
    void check(long freshAtMillis, long nowMillis) {
        long sinceMillis = Math.max(freshAtMillis, startedAtMillis);
        boolean old = nowMillis - sinceMillis > toleratedMillis;
        if (old && !stale) {
            onStale.accept(nowMillis - sinceMillis);
        } else if (!old && stale) {
            onFreshAgain.accept(nowMillis - lastFreshAtMillis);
        }
        stale = old;
        lastFreshAtMillis = sinceMillis;
    }
}
