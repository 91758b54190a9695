package rockshift.cluster;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Calls that wait, in the order of arrival for each caller; callers take turns. Not thread-safe.
 *
 * @param <C> what identifies a caller
 */
final class CallQueue<C> {
    /** The waiting calls by caller, in the order of the callers' turns; none is empty. */
    private final Map<C, ArrayDeque<Runnable>> waiting = new LinkedHashMap<>();

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    void add(C caller, Runnable call) {
        waiting.computeIfAbsent(caller, added -> new ArrayDeque<>()).add(call);
    }

    /** Removes the first call of the caller whose turn it is. There must be one. */
    Runnable remove() {
        C caller = waiting.keySet().iterator().next();
        ArrayDeque<Runnable> calls = waiting.remove(caller);
        Runnable first = calls.remove();
        if (!calls.isEmpty()) {
            waiting.put(caller, calls);
        }
        return first;
    }

    void drop(C caller) {
        waiting.remove(caller);
    }
}
