package rockshift.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The findings of the checks of all controllers, and change latencies. Not thread-safe. */
final class ScaleFindings {
    private static final int MAX_EXAMPLES = 20;

    /** By revision, the longest time from the proposal until it was in force at a controller. */
    private final Map<Long, Long> slowestMillis = new TreeMap<>();

    private final List<String> examples = new ArrayList<>();
    private int lost;
    private int disordered;
    private int stale;

    void lost(String example) {
        lost++;
        addExample(example);
    }

    void disordered(String example) {
        disordered++;
        addExample(example);
    }

    void stale(String example) {
        stale++;
        addExample(example);
    }

    /** Records the time from a change's proposal until it was in force at a controller. */
    void inForceAfter(long revision, long millis) {
        slowestMillis.merge(revision, millis, Math::max);
    }

    ScaleVerdict verdict(int controllers, int changes) {
        Histogram inForceEverywhereMillis = new Histogram(3);
        slowestMillis.values().forEach(inForceEverywhereMillis::recordValue);
        return new ScaleVerdict(
                controllers,
                changes,
                inForceEverywhereMillis,
                lost,
                disordered,
                stale,
                List.copyOf(examples));
    }

    private void addExample(String example) {
        if (examples.size() < MAX_EXAMPLES) {
            examples.add(example);
        }
    }
}
