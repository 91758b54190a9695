package rockshift.distribution.wire;

import java.util.List;
import rockshift.distribution.Item;
import rockshift.distribution.RejectionReason;
import rockshift.distribution.Revision;
import rockshift.distribution.Update;

/**
 * Hears what a {@link DistributionClient} holds. Calls come one at a time, on a thread that carries
 * other clients as well: a listener must not wait. It runs {@code inForce}, on any thread, once
 * what it was told has taken effect.
 */
public interface DistributionListener {
    /** A whole state takes the place of what was held. */
    void snapshot(Revision revision, List<Item> items, Runnable inForce);

    /** Updates to what was held. */
    void difference(Revision revision, List<Update> updates, Runnable inForce);

    /** What was held stands unchanged at a later revision. */
    default void advanced(Revision revision) {}

    /** The upstream tells something while the subscription goes on. */
    default void notice(RejectionReason reason, String place) {}

    /** What is held may be older than is tolerated, or nothing was held in that time. */
    default void stale(long ageMillis) {}

    /** What is held is up to date again. */
    default void freshAgain(long afterMillis) {}
}
