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
 * Asks members for changes one after the other at a rate, and tells the checker what was agreed. A
 * third of the changes concerns everyone, a third one service, and a third one service in one zone;
 * one in four takes an earlier one back.
 */
final class ChangeLoad implements Runnable {
    private static final int REPLICAS = 400;
    private static final long PATIENCE_MILLIS = 1_500;
    private static final long DEADLINE_MILLIS = 60_000;
    private static final String KEY_PREFIX = "out/";

    private final List<String> members;
    private final int count;
    private final double millisBetween;
    private final ScaleChecker checker;
    private final SplittableRandom random;
    private final Map<String, Change> held = new TreeMap<>();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    ChangeLoad(List<String> members, Scenario scenario, ScaleChecker checker) {
        this.members = members;
        this.checker = checker;
        count = scenario.changes();
        millisBetween = scenario.millisBetweenChanges();
        random = new SplittableRandom(scenario.seed());
    }

    /** Changes asked for so far. */
    int asked() {
        return asked.get();
    }

    /**
     * Changes of which nobody said what came of them; what they did is not known to the checker.
     */
    int unanswered() {
        return unanswered.get();
    }

    @Override
    public void run() {
        long began = HollowController.now();
        try (ClusterClient client =
                new ClusterClient(members, random.split(), (int) PATIENCE_MILLIS)) {
            for (int i = 0; i < count; i++) {
                long rest = began + (long) (i * millisBetween) - HollowController.now();
                TimeUnit.MILLISECONDS.sleep(Math.max(0, rest));
                ask(client, next());
                asked.incrementAndGet();
            }
        } catch (IOException | InterruptedException ended) {
            unanswered.addAndGet(count - asked.get());
        }
    }

    private Change next() {
        List<String> out = new ArrayList<>(held.keySet());
        if (!out.isEmpty() && random.nextInt(4) == 0) {
            return new Change(Change.Kind.BACK, out.get(random.nextInt(out.size())), 0, 0, "");
        }
        int whom = random.nextInt(3);
        String service = whom == 0 ? "" : Scenario.service(random.nextInt(Scenario.SERVICES));
        String zone = whom < 2 ? "" : Scenario.zone(random.nextInt(Scenario.ZONES));
        String subject = "replica-" + random.nextInt(REPLICAS);
        Change before = held.get(subject);
        // A replica stays where it is: a change of it concerns the same service and zone again.
        return new Change(
                Change.Kind.HOLD,
                subject,
                0,
                0,
                "change " + asked.get(),
                before == null ? service : before.service(),
                before == null ? zone : before.zone());
    }

    private void ask(ClusterClient client, Change change) throws IOException, InterruptedException {
        long at = HollowController.now();
        JsonNode answer;
        try {
            answer = client.change(change, true, at + DEADLINE_MILLIS);
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
            Change before = held.remove(change.subject());
            Item item = new Item(key, before.service(), before.zone(), new byte[0]);
            checker.saw(new Observation.Agreed(at, Update.delete(revision, item)));
        } else {
            held.put(change.subject(), change);
            Item item = new Item(key, change.service(), change.zone(), change.json());
            checker.saw(new Observation.Agreed(at, Update.put(revision, item)));
        }
    }
}
