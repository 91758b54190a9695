package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * Selects the upstream that a subscriber connects to, and when. After a failure, it selects the
 * next one in turn, with a backoff. An upstream with stale state is left as well, unless all of
 * them are stale. Confined to the subscriber's thread.
 */
final class UpstreamRotation {
    private final int upstreams;
    private final Limits limits;
    private final ReconnectBackoff backoff;
    private int current;
    private boolean started;
    private long connectAtMillis;
    private int consecutiveStale;
    private long nextStaleSwitchAtMillis;

    /**
     * Starts at a random upstream, so that a fleet that starts all at once is spread over the
     * upstreams.
     */
    UpstreamRotation(int upstreams, Limits limits, RandomGenerator random) {
        this.upstreams = upstreams;
        this.limits = limits;
        this.backoff = new ReconnectBackoff(limits.timing(), random);
        this.current = random.nextInt(upstreams);
    }

    /** Returns the index of the upstream to connect to next, or connected to last. */
    int current() {
        return current;
    }

    /** Returns whether it is time to connect. The first call picks a random start time. */
    boolean connectDue(long nowMillis) {
        if (!started) {
            started = true;
            connectAtMillis =
                    nowMillis + backoff.randomUpToMillis(limits.timing().initialBackoffMillis());
        }
        return nowMillis >= connectAtMillis;
    }

    /** Moves on to the next upstream after a failed or abandoned connection, with a backoff. */
    void failed(long nowMillis) {
        connectAtMillis = nowMillis + backoff.nextMillis();
        selectNext();
    }

    /**
     * Handles a rejection by the upstream, which may carry a time to retry after. Only a busy
     * upstream is tried again.
     */
    void rejected(DistributionMessage.Rejected rejected, long nowMillis) {
        long backoffMillis = backoff.nextMillis();
        long retryAfterMillis =
                Math.min(
                        Math.max(0, rejected.retryAfterMillis()),
                        limits.admission().maxRetryMillis());
        connectAtMillis = nowMillis + Math.max(backoffMillis, retryAfterMillis);
        if (rejected.reason() != RejectionReason.BUSY) {
            selectNext();
        }
    }

    /** Resets the backoff after the connection has proved stable. */
    void connectionStable() {
        backoff.reset();
    }

    /**
     * Returns whether to leave the upstream because its state is out of date. Returns true at most
     * once per upstream; if all of them are out of date, the subscriber stays for a while before it
     * tries them again.
     *
     * @param hasState whether the upstream has sent a state at all
     */
    boolean shouldLeaveStale(boolean hasState, long staleMillis, long nowMillis) {
        if (staleMillis <= limits.timing().staleThresholdMillis()) {
            consecutiveStale = 0;
            return false;
        } else if (!hasState || nowMillis < nextStaleSwitchAtMillis || upstreams == 1) {
            return false;
        }
        consecutiveStale++;
        if (consecutiveStale < upstreams) {
            return true;
        }
        consecutiveStale = 0;
        long halfRetryMillis = limits.timing().staleRetryMillis() / 2;
        nextStaleSwitchAtMillis =
                nowMillis + halfRetryMillis + backoff.randomUpToMillis(halfRetryMillis);
        return false;
    }

    private void selectNext() {
        current = (current + 1) % upstreams;
    }
}
