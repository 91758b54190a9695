package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;

/** A copy of the agreed state, with its JSON encoding in snapshots. */
record AgreedStateSnapshot(
        long version,
        Map<String, Change> drains,
        Map<String, Double> overrides,
        Map<String, Double> budgets) {
    private static final int FORMAT = 1;
    private static final JsonFactory JSON = new JsonFactory();

    byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("format", FORMAT);
            json.writeNumberField("version", version);
            json.writeArrayFieldStart("out");
            for (Change change : drains.values()) {
                json.writeStartObject();
                ChangeCodec.write(change, json);
                json.writeEndObject();
            }
            json.writeEndArray();
            writeNumbers(json, "terms", overrides);
            writeNumbers(json, "budgets", budgets);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    private static void writeNumbers(JsonGenerator json, String field, Map<String, Double> numbers)
            throws IOException {
        json.writeObjectFieldStart(field);
        for (Map.Entry<String, Double> number : numbers.entrySet()) {
            json.writeNumberField(number.getKey(), number.getValue());
        }
        json.writeEndObject();
    }

    static AgreedStateSnapshot decode(byte[] image) throws IOException {
        long version = 0;
        Map<String, Change> drains = new TreeMap<>();
        Map<String, Double> overrides = new TreeMap<>();
        Map<String, Double> budgets = new TreeMap<>();
        try (JsonParser json = JSON.createParser(image)) {
            json.nextToken();
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                json.nextToken();
                switch (field) {
                    case "format" -> requireFormat(json.getIntValue());
                    case "version" -> version = json.getLongValue();
                    case "out" -> readDrains(json, drains);
                    case "terms" -> readNumbers(json, overrides);
                    case "budgets" -> readNumbers(json, budgets);
                    default -> throw new IOException("unknown field '" + field + "'");
                }
            }
        }
        return new AgreedStateSnapshot(version, drains, overrides, budgets);
    }

    private static void requireFormat(int format) throws IOException {
        if (format != FORMAT) {
            throw new IOException("unsupported format " + format + ", expected " + FORMAT);
        }
    }

    private static void readDrains(JsonParser json, Map<String, Change> drains) throws IOException {
        while (json.nextToken() != JsonToken.END_ARRAY) {
            Change change = ChangeCodec.read(json);
            drains.put(change.subject(), change);
        }
    }

    private static void readNumbers(JsonParser json, Map<String, Double> numbers)
            throws IOException {
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String name = json.currentName();
            json.nextToken();
            numbers.put(name, json.getDoubleValue());
        }
    }
}
