package rockshift.distribution;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sum of what is in force at a publisher's subscribers, updated incrementally as each of them
 * changes. Confined to the publisher's thread.
 */
final class SummaryAggregator {
    /**
     * The contribution of one subscription to the sum.
     *
     * @param caughtUp whether everything that affects the subscription is in force at the
     *     subscriber and downstream of it
     * @param lowest the lowest revision number in force there; relevant only if it has not caught
     *     up
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

    /** Replaces the contribution of one subscription. */
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
     * Records a lost subscriber and the number of controllers lost with it. Beyond the limit, the
     * subscriber lost longest ago is dropped early.
     */
    void addLost(String subscriber, int controllers, long untilMillis) {
        removeLost(subscriber);
        if (controllers == 0) {
            return;
        }
        if (lost.size() >= maxLost) {
            removeLost(lost.keySet().iterator().next());
        }
        lost.put(subscriber, new LostSubscriber(controllers, untilMillis));
        unreachable += controllers;
    }

    /**
     * Removes a lost subscriber, if it is recorded.
     *
     * @return the number of controllers that were lost with it; 0 if it is not recorded
     */
    int removeLost(String subscriber) {
        LostSubscriber removed = lost.remove(subscriber);
        if (removed == null) {
            return 0;
        }
        unreachable -= removed.controllers();
        return removed.controllers();
    }

    /** Removes the lost subscribers whose retention time has passed. */
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

    /** Returns the sum, given the revision number that the publisher itself is at. */
    Summary sum(long current) {
        long lowestNumber = lowest.isEmpty() ? current : Math.min(current, lowest.firstKey());
        return new Summary(lowestNumber, subscribers, behind, unreachable, fingerprint);
    }
}
