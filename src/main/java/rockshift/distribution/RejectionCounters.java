package rockshift.distribution;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;

/** Counts of rejections by reason. */
final class RejectionCounters {
    private final Map<RejectionReason, Long> counts = new EnumMap<>(RejectionReason.class);

    void count(RejectionReason reason) {
        counts.merge(reason, 1L, Long::sum);
    }

    Map<RejectionReason, Long> counts() {
        return Collections.unmodifiableMap(counts);
    }
}
