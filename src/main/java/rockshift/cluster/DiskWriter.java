package rockshift.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs disk writes one at a time on its own thread, so that the member's thread never waits for the
 * disk. A write that fails is retried until it succeeds; data that was durable before it stays
 * durable.
 */
final class DiskWriter {
    private static final Logger LOG = LoggerFactory.getLogger(DiskWriter.class);

    /** The pause before a failed task is retried. */
    private static final long RETRY_PAUSE_MS = 500;

    /** A write to the disk that is safe to retry after a failure. */
    interface DiskTask {
        void run() throws IOException;
    }

    /** Receives the results of attempts on the member's thread. */
    interface StatusListener {
        /** Called after each attempt, with whether it succeeded. */
        void statusChanged(boolean works);
    }

    private record QueuedTask(DiskTask task, Runnable completion) {}

    private final Path folder;
    private final MemberInputs inputs;
    private final StatusListener listener;

    /** Bounded by the protocol, which has at most one save and one snapshot in progress. */
    private final LinkedBlockingQueue<QueuedTask> tasks = new LinkedBlockingQueue<>();

    private final Thread thread = new Thread(this::run, "agreement-disk");

    /** Tells the writer's thread to end. */
    private volatile boolean stopping;

    /** Publishes to the member's thread why disk writes fail; empty while they succeed. */
    private volatile String failureCause = "";

    DiskWriter(Path folder, MemberInputs inputs, StatusListener listener) {
        this.folder = folder;
        this.inputs = inputs;
        this.listener = listener;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Returns why disk writes fail; empty while they succeed. */
    String failureCause() {
        return failureCause;
    }

    /** Queues a task; its completion runs on the member's thread once the task succeeded. */
    void submit(DiskTask task, Runnable completion) {
        tasks.add(new QueuedTask(task, completion));
    }

    /** Tells the thread to end; queued tasks are dropped. */
    void stop() {
        stopping = true;
        thread.interrupt();
    }

    void awaitStop(long timeoutMillis) throws InterruptedException {
        thread.join(timeoutMillis);
    }

    private void run() {
        while (!stopping) {
            try {
                persist(tasks.take());
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void persist(QueuedTask queued) throws InterruptedException {
        while (!stopping) {
            try {
                queued.task.run();
                succeeded(queued.completion);
                return;
            } catch (IOException failure) {
                failed(String.valueOf(failure.getMessage()));
                TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MS);
            }
        }
    }

    private void succeeded(Runnable completion) throws InterruptedException {
        if (!failureCause.isEmpty()) {
            LOG.info("disk writes succeed again folder={}", folder);
            failureCause = "";
        }
        inputs.put(
                () -> {
                    listener.statusChanged(true);
                    completion.run();
                });
    }

    private void failed(String cause) throws InterruptedException {
        if (!cause.equals(failureCause)) {
            LOG.error(
                    "disk writes fail: not voting, and not acknowledging or applying new entries"
                            + " folder={} cause=\"{}\"",
                    folder,
                    cause);
            failureCause = cause;
        }
        inputs.put(() -> listener.statusChanged(false));
    }
}
