package rockshift.model;

/** The only unit of time in the planner and its inputs: a tick of 100 microseconds. */
public final class Ticks {
    public static final long TICKS_PER_MILLI = 10;
    public static final long TICKS_PER_SECOND = 10_000;
    public static final long MICROS_PER_TICK = 100;
    public static final long NANOS_PER_TICK = 1_000 * MICROS_PER_TICK;

    private Ticks() {}
}
