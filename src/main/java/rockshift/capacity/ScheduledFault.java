package rockshift.capacity;

import java.io.IOException;

/**
 * A fault that comes once a share of a run's changes was asked for, and what ends it some time
 * later.
 */
final class ScheduledFault {
    private final double atFraction;
    private final long lastsMillis;
    private final Step inject;
    private final Step repair;
    private long begunAtMillis;
    private boolean over;

    /** One thing that is done to the run. */
    interface Step {
        void run() throws IOException, InterruptedException;
    }

    ScheduledFault(double atFraction, long lastsMillis, Step inject, Step repair) {
        this.atFraction = atFraction;
        this.lastsMillis = lastsMillis;
        this.inject = inject;
        this.repair = repair;
    }

    /** Begins or ends it where that is due. */
    void step(double doneFraction, long nowMillis) throws IOException, InterruptedException {
        if (begunAtMillis == 0 && doneFraction >= atFraction) {
            begunAtMillis = nowMillis;
            inject.run();
        } else if (begunAtMillis > 0 && !over && nowMillis > begunAtMillis + lastsMillis) {
            over = true;
            repair.run();
        }
    }
}
