package rockshift.capacity;

import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * The result of a {@link ScaleChecker}.
 *
 * @param controllers controllers seen
 * @param changes changes agreed
 * @param inForceEverywhereMillis ms from the asking of a change until it was in force at every
 *     controller that it concerns, outside cuts
 * @param lost changes missing at a controller that should have them
 * @param disordered revisions that went back, came twice, or came without having been agreed or
 *     asked for
 * @param stale controllers that were not up to date in time after a cut, or called fresh what was
 *     not
 * @param examples the first of each kind, in words
 */
public record ScaleVerdict(
        int controllers,
        int changes,
        Histogram inForceEverywhereMillis,
        int lost,
        int disordered,
        int stale,
        List<String> examples) {
    /** Ms within which each change is to be in force everywhere. */
    public static final long MAX_IN_FORCE_MILLIS = 5_000;

    /** Whether nothing was lost, disordered or stale, and no change took too long. */
    public boolean passed() {
        return lost == 0
                && disordered == 0
                && stale == 0
                && inForceEverywhereMillis.getMaxValue() <= MAX_IN_FORCE_MILLIS;
    }

    /** The last line of a run, with what it measured beside. */
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
