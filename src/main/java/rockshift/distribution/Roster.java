package rockshift.distribution;

import java.util.Collection;

/**
 * Which controllers there should be, as a number and a fingerprint, so that a summary can be
 * compared with it without names going up.
 *
 * @param subscribers how many
 * @param fingerprint sum of the digests of their names
 */
public record Roster(int subscribers, long fingerprint) {
    /** The roster of controllers with these names. */
    public static Roster of(Collection<String> names) {
        return new Roster(names.size(), names.stream().mapToLong(Digest::of).sum());
    }
}
