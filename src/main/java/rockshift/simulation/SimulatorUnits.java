package rockshift.simulation;

import rockshift.model.Ticks;

/** Converts between the microseconds of the simulator protocol and the planner's ticks. */
final class SimulatorUnits {
    private SimulatorUnits() {}

    static long microsToTicks(long micros) {
        return Math.floorDiv(micros, Ticks.MICROS_PER_TICK);
    }

    static long ticksToMicros(long ticks) {
        return ticks * Ticks.MICROS_PER_TICK;
    }
}
