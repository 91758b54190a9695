package rockshift.capacity;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The result of a {@link ScaleChecker}.
 *
 * @param controllers the number of controllers observed
 * @param changes the number of committed changes
 * @param inForceEverywhereMillis the time in ms from the proposal of a change until it was in force
 *     at every controller that it concerns, outside partitions
 * @param lost the number of changes missing at a controller that should have them
 * @param disordered the number of revisions that went back or were repeated, and of updates that
 *     were not committed or are out of scope
 * @param stale how often a controller was not up to date in time after a partition, or reported its
 *     state as fresher than it was
 * @param examples descriptions of the first findings
 */
public record ScaleVerdict(
        int controllers,
        int changes,
        Histogram inForceEverywhereMillis,
        int lost,
        int disordered,
        int stale,
        List<String> examples) {
    /** The time within which each change must be in force everywhere. */
    public static final long MAX_IN_FORCE_MILLIS = 5_000;

    /** Whether nothing was lost, disordered or stale, and no change took too long. */
    public boolean passed() {
        return lost == 0
                && disordered == 0
                && stale == 0
                && inForceEverywhereMillis.getMaxValue() <= MAX_IN_FORCE_MILLIS;
    }

    /** The last line that a run prints, with the given measurements. */
    public String summary(double busiestMemberShare, double controllerBytesPerSecond) {
        return String.format(
                Locale.ROOT,
                "scale: %d governors, %d changes, in force everywhere p50 %.2f s p99 %.2f s max"
                        + " %.2f s, %d lost, %d out of order, %d stale after heal, busiest member"
                        + " %.1f%% of a core, governor %.0f B/s",
                controllers,
                changes,
                seconds(50),
                seconds(99),
                seconds(100),
                lost,
                disordered,
                stale,
                100 * busiestMemberShare,
                controllerBytesPerSecond);
    }

    private double seconds(double percentile) {
        return inForceEverywhereMillis.getTotalCount() == 0
                ? 0
                : inForceEverywhereMillis.getValueAtPercentile(percentile) / 1_000.0;
    }
}
