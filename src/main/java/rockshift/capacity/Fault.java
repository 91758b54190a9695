package rockshift.capacity;

import java.io.IOException;

/**
 * A fault that comes once a share of a run's changes was asked for, and what ends it some time
 * later.
 */
final class Fault {
    private final double share;
    private final long lastsMillis;
    private final Step begin;
    private final Step end;
    private long begunAt;
    private boolean over;

    /** One thing that is done to the run. */
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    Fault(double share, long lastsMillis, Step begin, Step end) {
        this.share = share;
        this.lastsMillis = lastsMillis;
        this.begin = begin;
        this.end = end;
    }

    /** Begins or ends it where that is due. */
    void step(double done, long now) throws IOException, InterruptedException {
        if (begunAt == 0 && done >= share) {
            begunAt = now;
            begin.run();
        } else if (begunAt > 0 && !over && now > begunAt + lastsMillis) {
            over = true;
            end.run();
        }
    }
}
