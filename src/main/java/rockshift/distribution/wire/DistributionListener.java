package rockshift.distribution.wire;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Update;

/**
 * Receives the state of a {@link DistributionClient}. Calls come one at a time, on a thread that is
 * shared with other clients, so they must not block. The listener runs {@code inForce}, on any
 * thread, once a snapshot or difference has taken effect.
 */
public interface DistributionListener {
    /** Called with a whole state that replaces the previous one. */
    void snapshot(Revision revision, List<Item> items, Runnable inForce);

    /** Called with updates to the state. */
    void difference(Revision revision, List<Update> updates, Runnable inForce);

    /** Called when the state is unchanged at a later revision. */
    default void advanced(Revision revision) {}

    /** Called with a notice of the upstream that does not end the subscription. */
    default void notice(RejectionReason reason, String detail) {}

    /**
     * Called once the state may be older than the stale threshold, or no state was received for
     * that long.
     */
    default void stale(long ageMillis) {}

    /** Called once the state is up to date again. */
    default void upToDate(long staleMillis) {}
}
