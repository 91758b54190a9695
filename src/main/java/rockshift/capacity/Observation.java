package rockshift.capacity;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/**
 * Something that a run of many governors saw, with the ms at which it happened on the one clock of
 * the run.
 */
public sealed interface Observation {
    long atMillis();

    /** Something that one governor saw or that was done to it. */
    sealed interface OfGovernor extends Observation {
        String governor();
    }

    /** A change that the members agreed; the time is when it was asked for. */
    record Agreed(long atMillis, Update update) implements Observation {}

    /** A governor began a life with nothing. */
    record Started(long atMillis, String governor, Scope scope) implements OfGovernor {}

    /** A governor was ended. */
    record Ended(long atMillis, String governor) implements OfGovernor {}

    /** A whole state is in force at a governor. */
    record SnapshotTaken(long atMillis, String governor, Revision revision, List<Item> items)
            implements OfGovernor {}

    /** A difference is in force at a governor. */
    record DifferenceTaken(long atMillis, String governor, Revision to, List<Update> updates)
            implements OfGovernor {}

    /** A governor learned that what it holds stands unchanged at a later revision. */
    record Advanced(long atMillis, String governor, Revision to) implements OfGovernor {}

    /**
     * A governor of its own process logged what revision is in force; what it holds there is not
     * seen.
     */
    record Logged(long atMillis, String governor, Revision revision) implements OfGovernor {}

    /** A governor was asked how old what it holds may be at most. */
    record AgeTold(long atMillis, String governor, long ageMillis) implements OfGovernor {}

    /** The run cut a governor off from the members. */
    record CutOff(long atMillis, String governor) implements OfGovernor {}

    /** The run let a governor reach the members again. */
    record Healed(long atMillis, String governor) implements OfGovernor {}
}
