package rockshift.capacity;

import java.io.IOException;

/**
 * A fault that is injected once a given fraction of a run's changes has been proposed, and repaired
 * after a given duration.
 */
final class ScheduledFault {
    private final double atFraction;
    private final long durationMillis;
    private final Action inject;
    private final Action repair;
    private long injectedAtMillis;
    private boolean repaired;

    /** Injects or repairs the fault. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    ScheduledFault(double atFraction, long durationMillis, Action inject, Action repair) {
        this.atFraction = atFraction;
        this.durationMillis = durationMillis;
        this.inject = inject;
        this.repair = repair;
    }

    /** Injects or repairs the fault if that is due. */
    void step(double doneFraction, long nowMillis) throws IOException, InterruptedException {
        if (injectedAtMillis == 0 && doneFraction >= atFraction) {
            injectedAtMillis = nowMillis;
            inject.run();
        } else if (injectedAtMillis > 0
                && !repaired
                && nowMillis > injectedAtMillis + durationMillis) {
            repaired = true;
            repair.run();
        }
    }
}
