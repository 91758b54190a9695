package rockshift.model;

/** The one unit of time in the planner and of its inputs: a tick of 100 microseconds. */
public final class Ticks {
    /** Ticks in a millisecond. */
    public static final long TICKS_PER_MILLI = 10;

    /** Ticks in a second. */
    public static final long TICKS_PER_SECOND = 10_000;

    /** Microseconds in a tick. */
    public static final long MICROS_PER_TICK = 100;

    /** Nanoseconds in a tick. */
    public static final long NANOS_PER_TICK = 1_000 * MICROS_PER_TICK;

    private Ticks() {}
}
