package rockshift.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import rockshift.cluster.Change;
import rockshift.cluster.ClusterClient;
import rockshift.distribution.Item;
import rockshift.distribution.Update;

/**
 * Proposes changes one at a time at a fixed rate, and passes the committed ones to the checker. A
 * third of the new holds concern everyone, a third one service, and a third one service in one
 * zone; one in four changes ends an earlier hold.
 */
final class ChangeLoad implements Runnable {
    private static final int REPLICAS = 400;
    private static final long CALL_TIMEOUT_MILLIS = 1_500;
    private static final long CHANGE_TIMEOUT_MILLIS = 60_000;
    private static final String KEY_PREFIX = "out/";

    private final List<String> members;
    private final int count;
    private final double millisBetween;
    private final ScaleChecker checker;
    private final SplittableRandom random;
    private final Map<String, Change> activeHolds = new TreeMap<>();
    private final AtomicInteger proposed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    ChangeLoad(List<String> members, ScaleScenario scenario, ScaleChecker checker) {
        this.members = members;
        this.checker = checker;
        count = scenario.changes();
        millisBetween = scenario.millisBetweenChanges();
        random = new SplittableRandom(scenario.seed());
    }

    /** The number of changes proposed so far. */
    int proposed() {
        return proposed.get();
    }

    /** The number of changes without a known outcome. The checker does not know their effect. */
    int unanswered() {
        return unanswered.get();
    }

    @Override
    public void run() {
        long startMillis = LightweightController.nowMillis();
        try (ClusterClient client =
                new ClusterClient(members, random.split(), (int) CALL_TIMEOUT_MILLIS)) {
            for (int i = 0; i < count; i++) {
                long waitMillis =
                        startMillis
                                + (long) (i * millisBetween)
                                - LightweightController.nowMillis();
                TimeUnit.MILLISECONDS.sleep(Math.max(0, waitMillis));
                propose(client, nextChange());
                proposed.incrementAndGet();
            }
        } catch (IOException | InterruptedException ended) {
            unanswered.addAndGet(count - proposed.get());
        }
    }

    private Change nextChange() {
        List<String> heldReplicas = new ArrayList<>(activeHolds.keySet());
        if (!heldReplicas.isEmpty() && random.nextInt(4) == 0) {
            return new Change(
                    Change.Kind.BACK,
                    heldReplicas.get(random.nextInt(heldReplicas.size())),
                    0,
                    0,
                    "");
        }
        int targetKind = random.nextInt(3);
        String service =
                targetKind == 0
                        ? ""
                        : ScaleScenario.service(random.nextInt(ScaleScenario.SERVICES));
        String zone = targetKind < 2 ? "" : ScaleScenario.zone(random.nextInt(ScaleScenario.ZONES));
        String subject = "replica-" + random.nextInt(REPLICAS);
        Change before = activeHolds.get(subject);
        // A replica keeps its service and zone: a further hold of it concerns the same ones.
        return new Change(
                Change.Kind.HOLD,
                subject,
                0,
                0,
                "change " + proposed.get(),
                before == null ? service : before.service(),
                before == null ? zone : before.zone());
    }

    private void propose(ClusterClient client, Change change)
            throws IOException, InterruptedException {
        long proposedAtMillis = LightweightController.nowMillis();
        JsonNode answer;
        try {
            answer = client.change(change, true, proposedAtMillis + CHANGE_TIMEOUT_MILLIS);
        } catch (ClusterClient.UnansweredException unknown) {
            unanswered.incrementAndGet();
            return;
        }
        long revision = answer.path("answer").path("version").asLong();
        if (revision == 0) {
            unanswered.incrementAndGet();
            return;
        }
        String key = KEY_PREFIX + change.subject();
        if (change.kind() == Change.Kind.BACK) {
            Change before = activeHolds.remove(change.subject());
            Item item = new Item(key, before.service(), before.zone(), new byte[0]);
            checker.observe(
                    new Observation.Committed(proposedAtMillis, Update.delete(revision, item)));
        } else {
            activeHolds.put(change.subject(), change);
            Item item = new Item(key, change.service(), change.zone(), change.json());
            checker.observe(
                    new Observation.Committed(proposedAtMillis, Update.put(revision, item)));
        }
    }
}
