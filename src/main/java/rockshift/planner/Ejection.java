package rockshift.planner;

/**
 * Ejection state of a replica for one {@link EjectionScope}. Only {@link OutlierDetector} begins
 * and ends it; a restart of the replica cancels it.
 */
final class Ejection {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean active;
    private long durationTicks;
    private long endedAtTicks = NEVER;

    boolean isActive() {
        return active;
    }

    /** Planned duration of the present or last ejection. */
    long durationTicks() {
        return durationTicks;
    }

    /** When the last ejection that was not cancelled ended; far in the past if there was none. */
    long endedAtTicks() {
        return endedAtTicks;
    }

    void begin(long forTicks) {
        active = true;
        durationTicks = forTicks;
    }

    void end(long now) {
        active = false;
        endedAtTicks = now;
    }

    /** Ends the ejection without a recovery ramp. */
    void cancel() {
        active = false;
    }
}
