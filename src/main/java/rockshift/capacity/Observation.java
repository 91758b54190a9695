package rockshift.capacity;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/** Something seen in a run of many controllers, with its time on the one clock of the run. */
public sealed interface Observation {
    /** When it happened. */
    long atMillis();

    /** Something that one controller saw or that was done to it. */
    sealed interface OfController extends Observation {
        /** The name of the controller. */
        String controller();
    }

    /** A change that the members agreed; the time is that of its proposal. */
    record Committed(long atMillis, Update update) implements Observation {}

    /** A controller started without a state. */
    record Started(long atMillis, String controller, Scope scope) implements OfController {}

    /** A controller was ended. */
    record Ended(long atMillis, String controller) implements OfController {}

    /** A whole state is in force at a controller. */
    record SnapshotTaken(long atMillis, String controller, Revision revision, List<Item> items)
            implements OfController {}

    /** A difference is in force at a controller. */
    record DifferenceTaken(long atMillis, String controller, Revision to, List<Update> updates)
            implements OfController {}

    /** A controller learned that its state stands unchanged at a later revision. */
    record Advanced(long atMillis, String controller, Revision to) implements OfController {}

    /** A controller of its own process logged which revision is in force; its state is not seen. */
    record RevisionLogged(long atMillis, String controller, Revision revision)
            implements OfController {}

    /** A controller was asked how old its state may be. */
    record AgeReported(long atMillis, String controller, long ageMillis) implements OfController {}

    /** The run cut a controller off from the members. */
    record Partitioned(long atMillis, String controller) implements OfController {}

    /** The run let a controller reach the members again. */
    record Healed(long atMillis, String controller) implements OfController {}
}
