package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import rockshift.raft.ClientSessions;

/**
 * What all governors agree on: which replicas staff want kept out, budgets, and terms that may
 * change while running. Changes are applied in one order everywhere, and each effective one makes
 * the next version. It knows no replicas but by their names.
 */
public final class AgreedState implements ClientSessions.StateMachine {
    /**
     * Replicas that may be kept out at a time: a bound on the snapshot, far above a fleet's drains.
     */
    public static final int MAX_DRAINS = 2_000;

    private static final int FORMAT = 1;
    private static final JsonFactory JSON = new JsonFactory();

    /** Terms that may change while running, and budgets, with their least and most. */
    private static final Map<String, double[]> TERMS =
            Map.of(
                    "price.crossing",
                    new double[] {0, 10},
                    "price.orders",
                    new double[] {0, 1},
                    "goal.worst.class",
                    new double[] {0, 1});

    private static final Map<String, double[]> BUDGETS =
            Map.of("crossing", new double[] {0, 1}, "moves", new double[] {0, 1});

    private long version;
    private final TreeMap<String, Change> drains = new TreeMap<>();
    private final TreeMap<String, Double> overrides = new TreeMap<>();
    private final TreeMap<String, Double> budgets = new TreeMap<>();

    public long version() {
        return version;
    }

    /** Drains and holds in force, by replica. */
    public Map<String, Change> drains() {
        return drains;
    }

    public Map<String, Double> overrides() {
        return overrides;
    }

    public Map<String, Double> budgets() {
        return budgets;
    }

    /** Why a change can't be taken, whatever is listed; null if it can. */
    public String objection(Change change) {
        if (change.kind() == Change.Kind.TERM || change.kind() == Change.Kind.BUDGET) {
            Map<String, double[]> known = change.kind() == Change.Kind.TERM ? TERMS : BUDGETS;
            double[] range = known.get(change.subject());
            if (range == null) {
                return "unknown-name: '"
                        + change.subject()
                        + "' is none of "
                        + String.join(", ", new TreeMap<>(known).keySet());
            } else if (change.value() < range[0] || change.value() > range[1]) {
                return "out-of-range: "
                        + change.subject()
                        + " must be from "
                        + range[0]
                        + " to "
                        + range[1];
            }
        } else if (change.kind() == Change.Kind.BACK && !drains.containsKey(change.subject())) {
            return "not-out: " + change.subject() + " is neither drained nor held";
        } else if (change.kind() != Change.Kind.BACK
                && drains.size() >= MAX_DRAINS
                && !drains.containsKey(change.subject())) {
            return "too-many: " + MAX_DRAINS + " replicas are kept out";
        }
        return null;
    }

    @Override
    public byte[] apply(long index, byte[] body) {
        String refused;
        try {
            Change change = Change.read(body);
            refused = objection(change);
            if (refused == null) {
                version++;
                switch (change.kind()) {
                    case DRAIN, HOLD -> drains.put(change.subject(), change);
                    case BACK -> drains.remove(change.subject());
                    case TERM -> overrides.put(change.subject(), change.value());
                    default -> budgets.put(change.subject(), change.value());
                }
            }
        } catch (IOException malformed) {
            refused = "malformed: " + malformed.getMessage();
        }
        String quoted =
                refused == null
                        ? ""
                        : new String(
                                com.fasterxml.jackson.core.io.JsonStringEncoder.getInstance()
                                        .quoteAsString(refused));
        return (refused == null
                        ? "{\"version\":" + version + "}"
                        : "{\"refused\":\"" + quoted + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public byte[] snapshot() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("format", FORMAT);
            json.writeNumberField("version", version);
            json.writeArrayFieldStart("out");
            for (Change change : drains.values()) {
                json.writeStartObject();
                change.write(json);
                json.writeEndObject();
            }
            json.writeEndArray();
            values(json, "terms", overrides);
            values(json, "budgets", budgets);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return bytes.toByteArray();
    }

    private static void values(JsonGenerator json, String field, Map<String, Double> values)
            throws IOException {
        json.writeObjectFieldStart(field);
        for (Map.Entry<String, Double> each : values.entrySet()) {
            json.writeNumberField(each.getKey(), each.getValue());
        }
        json.writeEndObject();
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
        try (JsonParser json = JSON.createParser(image)) {
            json.nextToken();
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "format" -> {
                        if (json.getIntValue() != FORMAT) {
                            throw new IOException(
                                    "format " + json.getIntValue() + ", this is " + FORMAT);
                        }
                    }
                    case "version" -> version = json.getLongValue();
                    case "out" -> {
                        while (json.nextToken() != JsonToken.END_ARRAY) {
                            Change change = Change.read(json);
                            drains.put(change.subject(), change);
                        }
                    }
                    case "terms" -> read(json, overrides);
                    case "budgets" -> read(json, budgets);
                    default -> throw new IOException("field " + field + " is not known");
                }
            }
        } catch (IOException damaged) {
            throw new IllegalStateException(
                    "what was agreed can't be read: " + damaged.getMessage(), damaged);
        }
    }

    private static void read(JsonParser json, Map<String, Double> values) throws IOException {
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            values.put(name, json.getDoubleValue());
        }
    }
}
