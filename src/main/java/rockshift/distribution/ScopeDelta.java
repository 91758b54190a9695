package rockshift.distribution;

import java.util.List;

/**
 * The changes in a scope since a revision.
 *
 * @param updates at most one update per item
 * @param digestChange the change of the digest of the scope's state; valid only if the store itself
 *     was at the starting revision
 * @param bytes the approximate size of the updates
 */
record ScopeDelta(List<Update> updates, long digestChange, long bytes) {}
