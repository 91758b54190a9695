package rockshift.distribution;

/**
 * A summary of what is in force at a subscriber and downstream of it, aggregated on the way
 * upstream. A relay sends the sum of its subscribers, so that a member learns about all controllers
 * from a few relays.
 *
 * @param lowestRevision the lowest revision number in force at any of the controllers that have not
 *     caught up with the changes that affect them; controllers that have caught up do not lower it
 * @param subscribers the number of connected controllers; relays are not counted
 * @param behind the number of connected controllers at which some of the changes that affect them
 *     are not in force
 * @param unreachable the number of disconnected controllers, each counted until its retention time
 *     has passed
 * @param fingerprint the sum of the digests of the names of the connected controllers, see {@link
 *     Roster}
 */
public record Summary(
        long lowestRevision, int subscribers, int behind, int unreachable, long fingerprint) {
    /** Returns the summary of a single controller. */
    public static Summary ofOne(String subscriber, long inForce) {
        return new Summary(inForce, 1, 0, 0, Digest.of(subscriber));
    }

    /**
     * Returns the sum of two summaries, such as those of two members that each see some of the
     * controllers.
     */
    public Summary plus(Summary other) {
        return new Summary(
                Math.min(lowestRevision, other.lowestRevision),
                subscribers + other.subscribers,
                behind + other.behind,
                unreachable + other.unreachable,
                fingerprint + other.fingerprint);
    }

    /**
     * Returns whether a revision is in force at every controller that is connected or was so
     * recently.
     */
    public boolean inForce(long revision) {
        return lowestRevision >= revision && behind == 0 && unreachable == 0;
    }

    /**
     * Returns whether a revision is in force at each controller of the roster, with none missing
     * and none counted twice.
     */
    public boolean inForceEverywhere(long revision, Roster roster) {
        return inForce(revision)
                && subscribers == roster.subscribers()
                && fingerprint == roster.fingerprint();
    }
}
