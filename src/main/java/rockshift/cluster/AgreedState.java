package rockshift.cluster;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import rockshift.raft.ClientSessions;

/**
 * The replicated state machine of the cluster: the replicas that operators drain or hold, budgets,
 * and overrides of settings that may change at run time. All members apply the same changes in the
 * same order, and each change that takes effect increments the version. Replicas are identified by
 * name. Used only by the member's thread.
 */
public final class AgreedState implements ClientSessions.StateMachine {
    /** The maximum number of replicas drained or held at a time; bounds the snapshot. */
    public static final int MAX_DRAINS = 2_000;

    private record Range(double min, double max) {
        boolean contains(double value) {
            return value >= min && value <= max;
        }
    }

    private static final Range FRACTION = new Range(0, 1);

    /** Settings that may change at run time, with their ranges. */
    private static final Map<String, Range> OVERRIDABLE_SETTINGS =
            Map.of(
                    "price.crossing",
                    new Range(0, 10),
                    "price.orders",
                    FRACTION,
                    "goal.worst.class",
                    FRACTION);

    private static final Map<String, Range> BUDGETS =
            Map.of("crossing", FRACTION, "moves", FRACTION);

    private long version;
    private final TreeMap<String, Change> drains = new TreeMap<>();
    private final TreeMap<String, Double> overrides = new TreeMap<>();
    private final TreeMap<String, Double> budgets = new TreeMap<>();

    /** Returns the number of changes that have taken effect. */
    public long version() {
        return version;
    }

    /** Returns the drains and holds in force, by replica name. */
    public Map<String, Change> drains() {
        return drains;
    }

    /** Returns the overridden settings, by name. */
    public Map<String, Double> overrides() {
        return overrides;
    }

    /** Returns the budgets, by name. */
    public Map<String, Double> budgets() {
        return budgets;
    }

    /** Returns why a change cannot be applied to this state, or null if it can. */
    public String rejectionReason(Change change) {
        return switch (change.kind()) {
            case TERM -> rejectionReason(change, OVERRIDABLE_SETTINGS);
            case BUDGET -> rejectionReason(change, BUDGETS);
            case BACK ->
                    drains.containsKey(change.subject())
                            ? null
                            : "not-out: " + change.subject() + " is neither drained nor held";
            case DRAIN, HOLD ->
                    drains.size() < MAX_DRAINS || drains.containsKey(change.subject())
                            ? null
                            : "too-many: " + MAX_DRAINS + " replicas are kept out";
        };
    }

    private static String rejectionReason(Change change, Map<String, Range> ranges) {
        Range range = ranges.get(change.subject());
        if (range == null) {
            String names = String.join(", ", new TreeMap<>(ranges).keySet());
            return "unknown-name: '" + change.subject() + "' is none of " + names;
        }
        if (!range.contains(change.value())) {
            String limits = "from " + range.min + " to " + range.max;
            return "out-of-range: " + change.subject() + " must be " + limits;
        }
        return null;
    }

    @Override
    public byte[] apply(long index, byte[] body) {
        String refusal;
        try {
            Change change = Change.read(body);
            refusal = rejectionReason(change);
            if (refusal == null) {
                apply(change);
            }
        } catch (IOException malformed) {
            refusal = "malformed: " + malformed.getMessage();
        }
        return outcome(refusal).getBytes(StandardCharsets.UTF_8);
    }

    private void apply(Change change) {
        version++;
        switch (change.kind()) {
            case DRAIN, HOLD -> drains.put(change.subject(), change);
            case BACK -> drains.remove(change.subject());
            case TERM -> overrides.put(change.subject(), change.value());
            default -> budgets.put(change.subject(), change.value());
        }
    }

    private String outcome(String refusal) {
        if (refusal == null) {
            return "{\"version\":" + version + "}";
        }
        String quoted = new String(JsonStringEncoder.getInstance().quoteAsString(refusal));
        return "{\"refused\":\"" + quoted + "\"}";
    }

    @Override
    public byte[] snapshot() {
        return new AgreedStateSnapshot(version, drains, overrides, budgets).encode();
    }

    @Override
    public void restore(byte[] image) {
        drains.clear();
        overrides.clear();
        budgets.clear();
        version = 0;
        if (image.length == 0) {
            return;
        }
        try {
            AgreedStateSnapshot snapshot = AgreedStateSnapshot.decode(image);
            version = snapshot.version();
            drains.putAll(snapshot.drains());
            overrides.putAll(snapshot.overrides());
            budgets.putAll(snapshot.budgets());
        } catch (IOException damaged) {
            throw new IllegalStateException(
                    "cannot restore the agreed state from a snapshot: " + damaged.getMessage(),
                    damaged);
        }
    }
}
