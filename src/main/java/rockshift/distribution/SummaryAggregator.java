package rockshift.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums up what is in force at a publisher's subscribers, updated with each change of one of them.
 * Owned by the publisher's thread.
 */
final class SummaryAggregator {
    /**
     * What one subscription adds to the sum.
     *
     * @param caughtUp whether all that concerns it is in force there and below
     * @param lowest the lowest number in force there and below, where it has not caught up
     */
    record Contribution(
            boolean caughtUp,
            long lowest,
            int subscribers,
            int behind,
            int unreachable,
            long fingerprint) {
        static final Contribution NOTHING = new Contribution(true, 0, 0, 0, 0, 0);
    }

    private record LostSubscriber(int controllers, long untilMillis) {}

    private final int maxLost;
    private final TreeMap<Long, Integer> lowest = new TreeMap<>();
    private final Map<String, LostSubscriber> lost = new LinkedHashMap<>();
    private int subscribers;
    private int behind;
    private int unreachable;
    private long fingerprint;

    SummaryAggregator(int maxLost) {
        this.maxLost = maxLost;
    }

    /** One subscription contributes something else than before. */
    void replace(Contribution before, Contribution after) {
        if (!before.caughtUp()) {
            lowest.merge(
                    before.lowest(), -1, (one, other) -> one + other == 0 ? null : one + other);
        }
        if (!after.caughtUp()) {
            lowest.merge(after.lowest(), 1, Integer::sum);
        }
        subscribers += after.subscribers() - before.subscribers();
        behind += after.behind() - before.behind();
        unreachable += after.unreachable() - before.unreachable();
        fingerprint += after.fingerprint() - before.fingerprint();
    }

    /**
     * A subscriber was lost, and controllers with it. Over the bound the one lost longest ago is
     * forgotten early.
     */
    void rememberLost(String subscriber, int controllers, long untilMillis) {
        forgetLost(subscriber);
        if (controllers == 0) {
            return;
        }
        if (lost.size() >= maxLost) {
            forgetLost(lost.keySet().iterator().next());
        }
        lost.put(subscriber, new LostSubscriber(controllers, untilMillis));
        unreachable += controllers;
    }

    /**
     * A subscriber is back, or need not be remembered; returns how many controllers were lost with
     * it.
     */
    int forgetLost(String subscriber) {
        LostSubscriber back = lost.remove(subscriber);
        if (back == null) {
            return 0;
        }
        unreachable -= back.controllers();
        return back.controllers();
    }

    /** Forgets who was lost too long ago. */
    void expireLost(long nowMillis) {
        Iterator<LostSubscriber> oldest = lost.values().iterator();
        while (oldest.hasNext()) {
            LostSubscriber next = oldest.next();
            if (next.untilMillis() > nowMillis) {
                return;
            }
            unreachable -= next.controllers();
            oldest.remove();
        }
    }

    /** The sum, where the publisher itself stands at this number. */
    Summary sum(long current) {
        long least = lowest.isEmpty() ? current : Math.min(current, lowest.firstKey());
        return new Summary(least, subscribers, behind, unreachable, fingerprint);
    }
}
