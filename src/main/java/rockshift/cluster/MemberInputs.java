package rockshift.cluster;

import java.util.Collection;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded queue of inputs for the member's thread. Inputs from sockets are dropped if the queue
 * is full, like a lost message; the disk's thread waits for room, since its results must not be
 * lost.
 */
final class MemberInputs {
    private static final int QUEUE_CAPACITY = 20_000;

    /** The maximum number of inputs moved into a batch before the engine runs. */
    private static final int MAX_BATCH = 1_000;

    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);

    /** Adds an input; returns false if the queue is full. */
    boolean offer(Runnable input) {
        return queue.offer(input);
    }

    /** Adds an input; waits until there is room for it. */
    void put(Runnable input) throws InterruptedException {
        queue.put(input);
    }

    /** Waits for an input; returns null after the timeout. */
    Runnable poll(long timeoutMillis) throws InterruptedException {
        return queue.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Moves further inputs into a batch. */
    void drainTo(Collection<Runnable> batch) {
        queue.drainTo(batch, MAX_BATCH);
    }
}
