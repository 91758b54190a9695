package rockshift.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes what must be durable, one task after the other, on a thread of its own, so that the
 * member's thread waits for no disk. A task that fails is tried until the disk takes it: what was
 * durable before it stays so.
 */
final class DiskWriter {
    private static final Logger LOG = LoggerFactory.getLogger(DiskWriter.class);

    /** The pause between two tries of a task that failed. */
    private static final long RETRY_PAUSE_MS = 500;

    /** A write to the disk; trying it again after a failure is safe. */
    interface DiskTask {
        void run() throws IOException;
    }

    /** Hears of tries, on the member's thread. */
    interface StatusListener {
        /** Called after each try, with whether the disk takes what it is given. */
        void statusChanged(boolean works);
    }

    private record QueuedTask(DiskTask task, Runnable completion) {}

    private final Path folder;
    private final MemberInputs inputs;
    private final StatusListener listener;

    /** Bounded by the protocol: it gives out one save at a time, and one snapshot. */
    private final LinkedBlockingQueue<QueuedTask> tasks = new LinkedBlockingQueue<>();

    private final Thread thread = new Thread(this::run, "agreement-disk");

    /** Publishes to the writer's thread that it is to end. */
    private volatile boolean stopping;

    /** Publishes to the member's thread why disk writes fail; empty while they work. */
    private volatile String trouble = "";

    DiskWriter(Path folder, MemberInputs inputs, StatusListener listener) {
        this.folder = folder;
        this.inputs = inputs;
        this.listener = listener;
        thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    /** Why disk writes fail; empty while they work. */
    String trouble() {
        return trouble;
    }

    /** Queues a task; once it is durable, its completion runs on the member's thread. */
    void submit(DiskTask task, Runnable completion) {
        tasks.add(new QueuedTask(task, completion));
    }

    /** Has the thread end, whatever waits. */
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
        if (!trouble.isEmpty()) {
            LOG.info("disk writes work again folder={}", folder);
            trouble = "";
        }
        inputs.put(
                () -> {
                    listener.statusChanged(true);
                    completion.run();
                });
    }

    private void failed(String cause) throws InterruptedException {
        if (!cause.equals(trouble)) {
            LOG.error(
                    "disk writes fail: not voting, not acknowledging or applying new entries"
                            + " folder={} cause=\"{}\"",
                    folder,
                    cause);
            trouble = cause;
        }
        inputs.put(() -> listener.statusChanged(false));
    }
}
