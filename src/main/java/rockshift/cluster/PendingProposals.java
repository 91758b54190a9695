package rockshift.cluster;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * The requests whose proposed entries are not applied yet, by the index of the entry. Used only by
 * the engine's thread.
 */
final class PendingProposals {
    /** The maximum number of pending requests; more are refused as busy. */
    private static final int MAX_PENDING = 20_000;

    private record Pending(long request, long term) {}

    /** Receives the requests that are no longer pending. */
    interface Completion {
        /**
         * Called when the entry at a request's index was applied.
         *
         * @param same whether it is the entry proposed for the request; another leader may have
         *     replaced it by its own
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

    /** Adds a request that waits for the entry with an index and a term. */
    void add(long index, long request, long term) {
        byIndex.put(index, new Pending(request, term));
    }

    /** Completes all requests up to an applied entry. */
    void applied(long index, long term, Completion completion) {
        while (!byIndex.isEmpty() && byIndex.firstKey() <= index) {
            Map.Entry<Long, Pending> first = byIndex.pollFirstEntry();
            Pending pending = first.getValue();
            boolean same = first.getKey() == index && pending.term == term;
            completion.completed(pending.request, same);
        }
    }

    /** Removes all requests without an outcome. */
    void abandonAll(LongConsumer abandoned) {
        byIndex.values().forEach(pending -> abandoned.accept(pending.request));
        byIndex.clear();
    }
}
