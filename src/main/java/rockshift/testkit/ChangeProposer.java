package rockshift.testkit;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;

/**
 * A client of a {@link FaultTrial} that proposes changes one at a time, each with a unique reason
 * that identifies it in the logs. Runs on the thread that calls {@link #run}.
 */
final class ChangeProposer {
    private static final int CALL_TIMEOUT_MILLIS = 1_500;
    private static final long CHANGE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_PAUSE_MILLIS = 40;

    private final int number;
    private final List<String> addresses;
    private final SplittableRandom random;
    private final TrialRecord record;

    /** Set when the trial ends; read by the proposing thread. */
    private volatile boolean stopped;

    ChangeProposer(
            int number, List<String> addresses, SplittableRandom random, TrialRecord record) {
        this.number = number;
        this.addresses = addresses;
        this.random = random;
        this.record = record;
    }

    void stop() {
        stopped = true;
    }

    /** Proposes changes until {@link #stop} is called. */
    void run() {
        try (ClusterClient client = new ClusterClient(addresses, random, CALL_TIMEOUT_MILLIS)) {
            for (int serial = 0; !stopped; serial++) {
                propose(client, serial);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MILLIS));
            }
        } catch (InterruptedException ended) {
            record.problem("client " + number + ": " + ended);
            Thread.currentThread().interrupt();
        } catch (IOException ended) {
            record.problem("client " + number + ": " + ended);
        }
    }

    private void propose(ClusterClient client, int serial) throws InterruptedException {
        String reason = "op-" + number + "-" + serial;
        Change change = change(serial, reason);
        long startedNanos = System.nanoTime();
        long deadlineMillis = TimeUnit.NANOSECONDS.toMillis(startedNanos) + CHANGE_TIMEOUT_MILLIS;
        try {
            if (client.change(change, true, deadlineMillis).path("answer").has("version")) {
                record.acknowledged(reason);
            }
            record.recordCommitLatency(
                    TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startedNanos));
        } catch (IOException unknown) {
            record.problem(reason + " not answered: " + unknown.getMessage());
        }
    }

    /** Returns in turn a setting, a hold and the end of that hold. */
    private Change change(int serial, String reason) {
        return switch (serial % 3) {
            case 0 ->
                    new Change(
                            Change.Kind.TERM,
                            "price.crossing",
                            0,
                            random.nextInt(100) / 10.0,
                            reason);
            case 1 -> new Change(Change.Kind.HOLD, "s-" + number, 0, 0, reason);
            default -> new Change(Change.Kind.BACK, "s-" + number, 0, 0, reason);
        };
    }
}
