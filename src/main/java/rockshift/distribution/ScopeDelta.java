package rockshift.distribution;

import java.util.List;

/**
 * What changed in a scope since a revision.
 *
 * @param updates at most one an item
 * @param digestChange what the digest of the scope's state grew by, where the start is a revision
 *     that the store itself was at
 * @param bytes about how many the updates take
 */
record ScopeDelta(List<Update> updates, long digestChange, long bytes) {}
