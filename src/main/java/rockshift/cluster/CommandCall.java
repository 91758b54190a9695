package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** The decoded call of a command: a JSON object whose fields are scalar values. Immutable. */
final class CommandCall {
    private static final JsonFactory JSON = new JsonFactory();

    private final Map<String, String> fields;

    private CommandCall(Map<String, String> fields) {
        this.fields = fields;
    }

    static CommandCall parse(byte[] payload) throws IOException {
        Map<String, String> fields = new HashMap<>();
        try (JsonParser json = JSON.createParser(payload)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("expected a JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                if (!json.nextToken().isScalarValue()) {
                    throw new IOException("field " + field + ": must be a scalar value");
                }
                fields.put(field, json.getText());
            }
        }
        return new CommandCall(fields);
    }

    /** Returns the caller's number of this call, which the reply repeats. */
    long callNumber() throws IOException {
        return number("call");
    }

    /** Returns the text of a field, or null if it is absent. */
    String text(String field) {
        return fields.get(field);
    }

    String text(String field, String defaultValue) {
        return fields.getOrDefault(field, defaultValue);
    }

    boolean flag(String field) {
        return Boolean.parseBoolean(fields.get(field));
    }

    /** Returns the number in a field, or 0 if it is absent. */
    long number(String field) throws IOException {
        try {
            return Long.parseLong(fields.getOrDefault(field, "0"));
        } catch (NumberFormatException invalid) {
            throw new IOException("field " + field + ": must be a whole number", invalid);
        }
    }
}
