package rockshift.distribution;

/**
 * What is in force at a subscriber and below it, summed up on the way back. A relay sends the sum
 * of its subscribers, so that a member learns of all controllers from a few relays.
 *
 * @param lowestRevision the lowest number in force at any of the controllers counted that have not
 *     caught up with what concerns them; those that have do not lower it
 * @param subscribers controllers connected; relays are not counted
 * @param behind controllers connected that have not put all in force that concerns them
 * @param unreachable controllers that were connected and are not, for as long as they are
 *     remembered
 * @param fingerprint sum of the digests of the names of the controllers connected, see {@link
 *     Roster}
 */
public record Summary(
        long lowestRevision, int subscribers, int behind, int unreachable, long fingerprint) {
    /** The summary of one controller by itself. */
    public static Summary ofOne(String subscriber, long inForce) {
        return new Summary(inForce, 1, 0, 0, Digest.of(subscriber));
    }

    /** The sum of two, as of members that each see a part of the controllers. */
    public Summary plus(Summary other) {
        return new Summary(
                Math.min(lowestRevision, other.lowestRevision),
                subscribers + other.subscribers,
                behind + other.behind,
                unreachable + other.unreachable,
                fingerprint + other.fingerprint);
    }

    /** Whether a revision is in force at every controller that is, or was lately, connected. */
    public boolean inForce(long revision) {
        return lowestRevision >= revision && behind == 0 && unreachable == 0;
    }

    /**
     * Whether a revision is in force at each controller of the roster, none left out and none
     * counted twice.
     */
    public boolean inForceEverywhere(long revision, Roster roster) {
        return inForce(revision)
                && subscribers == roster.subscribers()
                && fingerprint == roster.fingerprint();
    }
}
