package rockshift.distribution.wire;

import java.util.function.LongConsumer;

/**
 * Reports when the state of a subscriber becomes older than the threshold, and when it is up to
 * date again. Confined to the subscriber's thread.
 */
final class StalenessMonitor {
    private final long thresholdMillis;
    private final long startedAtMillis;
    private final LongConsumer onStale;
    private final LongConsumer onFreshAgain;
    private long lastFreshAtMillis;
    private boolean stale;

    /**
     * Creates a monitor that starts now.
     *
     * @param thresholdMillis the maximum age of a state that is not stale
     * @param onStale receives the age of the state, in milliseconds
     * @param onFreshAgain receives the time since the state was last known to be current, in
     *     milliseconds
     */
    StalenessMonitor(
            long thresholdMillis, long nowMillis, LongConsumer onStale, LongConsumer onFreshAgain) {
        this.thresholdMillis = thresholdMillis;
        this.startedAtMillis = nowMillis;
        this.lastFreshAtMillis = nowMillis;
        this.onStale = onStale;
        this.onFreshAgain = onFreshAgain;
    }

    /**
     * Reports a change between fresh and stale, once per change.
     *
     * @param freshAtMillis when the state was last known to be current; {@link Long#MIN_VALUE} if
     *     it never was
     */
    void check(long freshAtMillis, long nowMillis) {
        long sinceMillis = Math.max(freshAtMillis, startedAtMillis);
        boolean nowStale = nowMillis - sinceMillis > thresholdMillis;
        if (nowStale && !stale) {
            onStale.accept(nowMillis - sinceMillis);
        } else if (!nowStale && stale) {
            onFreshAgain.accept(nowMillis - lastFreshAtMillis);
        }
        stale = nowStale;
        lastFreshAtMillis = sinceMillis;
    }
}
