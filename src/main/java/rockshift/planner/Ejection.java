package rockshift.planner;

/**
 * Whether a replica is ejected for one {@link EjectionScope}, and when it last was. Only {@link
 * OutlierDetector} begins and ends it; a restart of the replica cancels it.
 */
final class Ejection {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private boolean active;
    private long durationTicks;
    private long endedAtTicks = NEVER;

    boolean isActive() {
        return active;
    }

    /** How long the present or last ejection is meant to take. */
    long durationTicks() {
        return durationTicks;
    }

    /** When the last one ran its full time; far in the past if none did. */
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

    /** Ends it without a recovery ramp. */
    void cancel() {
        active = false;
    }
}
