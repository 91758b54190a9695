package rockshift.planner;

import rockshift.model.ClassSet;

/** Command of a planner to its host, as recorded by {@link FakeController}. */
sealed interface SentCommand {
    /** A table's entry for a replica was set or removed. */
    record TableEntry(int table, long replica) implements SentCommand {}

    /** A proxy was bound to a table for some classes. */
    record Binding(int table, int proxy, ClassSet classes) implements SentCommand {}

    /** A proxy was notified that a replica drains, or no longer drains. */
    record DrainNotice(long replica, boolean draining, int proxy) implements SentCommand {}

    /** A table got an admission level and a retry mode. */
    record Level(int table, double level, int retryMode) implements SentCommand {}

    /** The turn's messages got a serial number for proxies to acknowledge. */
    record Acknowledgement(int serial) implements SentCommand {}

    /** A wake-up was requested. */
    record WakeUp(long delayTicks) implements SentCommand {}
}
