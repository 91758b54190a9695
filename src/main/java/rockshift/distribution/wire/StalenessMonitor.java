package rockshift.distribution.wire;

import java.util.function.LongConsumer;

/**
 * Tells when what a subscriber holds has become older than is tolerated, and when it is up to date
 * again.
 */
final class StalenessMonitor {
    private final long tolerated;
    private final long startedAt;
    private final LongConsumer cutOff;
    private final LongConsumer back;
    private long lastFresh;
    private boolean isCutOff;

    /**
     * A watch that begins now.
     *
     * @param tolerated ms that what is held may be old
     * @param cutOff is told how old it is
     * @param back is told for how long nothing newer came
     */
    StalenessMonitor(long tolerated, long nowMs, LongConsumer cutOff, LongConsumer back) {
        this.tolerated = tolerated;
        this.startedAt = nowMs;
        this.lastFresh = nowMs;
        this.cutOff = cutOff;
        this.back = back;
    }

    /**
     * @param freshAt when what is held was the newest; the lowest long if it never was
     */
    void look(long freshAt, long nowMs) {
        long since = Math.max(freshAt, startedAt);
        boolean old = nowMs - since > tolerated;
        if (old && !isCutOff) {
            cutOff.accept(nowMs - since);
        } else if (!old && isCutOff) {
            back.accept(nowMs - lastFresh);
        }
        isCutOff = old;
        lastFresh = since;
    }
}
