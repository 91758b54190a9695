package rockshift.distribution;

import java.util.Collection;

/**
 * The set of controllers that are expected, as a number and a fingerprint, so that a summary can be
 * compared with it without sending names upstream.
 *
 * @param subscribers the number of controllers
 * @param fingerprint the sum of the digests of their names
 */
public record Roster(int subscribers, long fingerprint) {
    /** Returns the roster of the controllers with these names. */
    public static Roster of(Collection<String> names) {
        return new Roster(names.size(), names.stream().mapToLong(Digest::of).sum());
    }
}
