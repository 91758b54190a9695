package rockshift.cluster;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.concurrent.TimeUnit;

/**
 * The inputs of the member's thread, in three queues: results of this member's own threads, which
 * are never dropped; messages of other members, which are dropped beyond a limit, like lost ones;
 * and calls of commands. A batch has the results and messages first, and then a bounded number of
 * calls, one of each caller in turn, so that a caller delays neither the protocol nor other
 * callers. Thread-safe.
 */
final class MemberInputs {
    private static final int MAX_MESSAGES = 20_000;

    /** The maximum number of results and messages moved into a batch before the engine runs. */
    private static final int MAX_BATCH = 1_000;

    /** The maximum number of calls in a batch. */
    private static final int MAX_CALLS_PER_BATCH = 64;

    private final ArrayDeque<Runnable> results = new ArrayDeque<>();
    private final ArrayDeque<Runnable> messages = new ArrayDeque<>();
    private final CallQueue<MemberConnection> calls = new CallQueue<>();

    /** Adds a message of another member; returns false if it was dropped. */
    synchronized boolean offer(Runnable message) {
        if (messages.size() >= MAX_MESSAGES) {
            return false;
        }
        messages.add(message);
        notifyAll();
        return true;
    }

    /** Adds a result of one of this member's own threads. */
    synchronized void put(Runnable result) {
        results.add(result);
        notifyAll();
    }

    /** Adds a call of a command. */
    synchronized void addCall(MemberConnection caller, Runnable call) {
        calls.add(caller, call);
        notifyAll();
    }

    /** Drops the calls of a caller that has closed its connection. */
    synchronized void dropCalls(MemberConnection caller) {
        calls.drop(caller);
    }

    /** Waits until there is an input, at most for a timeout. */
    synchronized void await(long timeoutMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (results.isEmpty() && messages.isEmpty() && calls.isEmpty()) {
            long waitNanos = endNanos - System.nanoTime();
            if (waitNanos <= 0) {
                return;
            }
            TimeUnit.NANOSECONDS.timedWait(this, waitNanos);
        }
    }

    /** Moves inputs into a batch. */
    synchronized void drainTo(Collection<Runnable> batch) {
        while (batch.size() < MAX_BATCH && !results.isEmpty()) {
            batch.add(results.remove());
        }
        while (batch.size() < MAX_BATCH && !messages.isEmpty()) {
            batch.add(messages.remove());
        }
        for (int i = 0; i < MAX_CALLS_PER_BATCH && !calls.isEmpty(); i++) {
            batch.add(calls.remove());
        }
    }
}
