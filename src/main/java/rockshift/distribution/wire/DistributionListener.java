package rockshift.distribution.wire;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Update;

/**
 * Takes the state of a {@link DistributionClient}. Calls come one at a time, on a thread that
 * carries other clients as well: a listener must not wait. It runs {@code inForce}, on any thread,
 * once what it was handed has taken effect.
 */
public interface DistributionListener {
    /** A whole state takes the place of the one before. */
    void snapshot(Revision revision, List<Item> items, Runnable inForce);

    /** Updates to the state. */
    void difference(Revision revision, List<Update> updates, Runnable inForce);

    /** The state stands unchanged at a later revision. */
    default void advanced(Revision revision) {}

    /** The upstream tells something while the subscription goes on. */
    default void notice(RejectionReason reason, String detail) {}

    /** The state may be older than is tolerated, or there was none in that time. */
    default void stale(long ageMillis) {}

    /** The state is up to date again. */
    default void freshAgain(long afterMillis) {}
}
