package rockshift.distribution;

import java.util.random.RandomGenerator;

/**
 * Which upstream a subscriber dials, and when: the next in turn after each failure, with a backoff,
 * and once through all of them when they are out of date. Owned by the subscriber's thread.
 */
final class UpstreamRotation {
    private final int upstreams;
    private final Limits limits;
    private final ReconnectBackoff backoff;
    private int current;
    private boolean started;
    private long dialAtMillis;
    private int staleInTurn;
    private long mayLeaveStaleAtMillis;

    /** Begins at an upstream by chance, so that a fleet that starts at once spreads over them. */
    UpstreamRotation(int upstreams, Limits limits, RandomGenerator random) {
        this.upstreams = upstreams;
        this.limits = limits;
        this.backoff = new ReconnectBackoff(limits.timing(), random);
        this.current = random.nextInt(upstreams);
    }

    /** The upstream that is dialled next or was dialled last. */
    int current() {
        return current;
    }

    /** Whether it is time to dial; the first call sets a start by chance. */
    boolean dialDue(long nowMillis) {
        if (!started) {
            started = true;
            dialAtMillis = nowMillis + backoff.upToMillis(limits.timing().initialBackoffMillis());
        }
        return nowMillis >= dialAtMillis;
    }

    /** The connection failed or is given up: the next upstream follows after the backoff. */
    void failed(long nowMillis) {
        dialAtMillis = nowMillis + backoff.nextMillis();
        moveOn();
    }

    /** The upstream rejected the subscription and told a time to come back. */
    void rejected(DistributionMessage.Rejected rejected, long nowMillis) {
        long backoffMillis = backoff.nextMillis();
        long retryAfterMillis =
                Math.min(
                        Math.max(0, rejected.retryAfterMillis()),
                        limits.admission().maxRetryMillis());
        dialAtMillis = nowMillis + Math.max(backoffMillis, retryAfterMillis);
        if (rejected.reason() != RejectionReason.BUSY) {
            moveOn();
        }
    }

    /** The connection has proved good. */
    void proved() {
        backoff.reset();
    }

    /**
     * Whether to leave the upstream because its state is out of date. Says so once for each
     * upstream; where all are out of date it stays for a while before it looks again.
     *
     * @param hasState whether the upstream has sent a state at all
     */
    boolean shouldLeaveStale(boolean hasState, long staleMillis, long nowMillis) {
        if (staleMillis <= limits.timing().staleThresholdMillis()) {
            staleInTurn = 0;
            return false;
        } else if (!hasState || nowMillis < mayLeaveStaleAtMillis || upstreams == 1) {
            return false;
        }
        staleInTurn++;
        if (staleInTurn < upstreams) {
            return true;
        }
        staleInTurn = 0;
        long halfRetryMillis = limits.timing().staleRetryMillis() / 2;
        mayLeaveStaleAtMillis = nowMillis + halfRetryMillis + backoff.upToMillis(halfRetryMillis);
        return false;
    }

    private void moveOn() {
        current = (current + 1) % upstreams;
    }
}
