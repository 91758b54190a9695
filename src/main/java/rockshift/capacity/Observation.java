package rockshift.capacity;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.Revision;
import rockshift.distribution.Scope;
import rockshift.distribution.Update;

/** An event observed in a run of many controllers, with its time on the run's clock. */
public sealed interface Observation {
    /** The time of the event. */
    long atMillis();

    /** An event that one controller reported or that was injected into it. */
    sealed interface OfController extends Observation {
        /** The name of the controller. */
        String controller();
    }

    /** A change was committed; the time is that of its proposal. */
    record Committed(long atMillis, Update update) implements Observation {}

    /** A controller started without a state. */
    record Started(long atMillis, String controller, Scope scope) implements OfController {}

    /** A controller was killed. */
    record Ended(long atMillis, String controller) implements OfController {}

    /** A snapshot is in force at a controller. */
    record SnapshotTaken(long atMillis, String controller, Revision revision, List<Item> items)
            implements OfController {}

    /** A difference is in force at a controller. */
    record DifferenceTaken(long atMillis, String controller, Revision to, List<Update> updates)
            implements OfController {}

    /** A controller learned that its state is unchanged at a later revision. */
    record Advanced(long atMillis, String controller, Revision to) implements OfController {}

    /** A controller in its own process logged the revision in force; its state is not observed. */
    record RevisionLogged(long atMillis, String controller, Revision revision)
            implements OfController {}

    /** A controller reported the maximum age of its state. */
    record AgeReported(long atMillis, String controller, long ageMillis) implements OfController {}

    /** The run partitioned a controller from the members. */
    record Partitioned(long atMillis, String controller) implements OfController {}

    /** The run ended a controller's partition from the members. */
    record Healed(long atMillis, String controller) implements OfController {}
}
