package rockshift.cluster;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * The requests that wait until the entry proposed for them is applied, by the entry's index. Used
 * by the engine's thread alone.
 */
final class PendingProposals {
    /** Requests that may wait; more are refused as busy. */
    private static final int MAX_PENDING = 20_000;

    private record Pending(long request, long term) {}

    /** Hears of requests whose wait is over. */
    interface Completion {
        /**
         * The entry at a request's index was applied.
         *
         * @param same whether it is the entry that was proposed for the request; another leader may
         *     have put its own in that place
         */
        void completed(long request, boolean same);
    }

    private final TreeMap<Long, Pending> byIndex = new TreeMap<>();

    boolean isFull() {
        return byIndex.size() >= MAX_PENDING;
    }

    boolean isEmpty() {
        return byIndex.isEmpty();
    }

    /** Notes that a request waits for an entry of a term. */
    void add(long index, long request, long term) {
        byIndex.put(index, new Pending(request, term));
    }

    /** Ends the wait of all requests up to an applied entry. */
    void applied(long index, long term, Completion completion) {
        while (!byIndex.isEmpty() && byIndex.firstKey() <= index) {
            Map.Entry<Long, Pending> first = byIndex.pollFirstEntry();
            Pending pending = first.getValue();
            boolean same = first.getKey() == index && pending.term == term;
            completion.completed(pending.request, same);
        }
    }

    /** Ends the wait of all requests without an outcome. */
    void abandonAll(LongConsumer abandoned) {
        byIndex.values().forEach(pending -> abandoned.accept(pending.request));
        byIndex.clear();
    }
}
