package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** One call of a command: a JSON object of plain fields. Immutable. */
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
                throw new IOException("no JSON object");
            }
            while (json.nextToken() != JsonToken.END_OBJECT) {
                String field = json.currentName();
                if (!json.nextToken().isScalarValue()) {
                    throw new IOException("field " + field + ": must be plain");
                }
                fields.put(field, json.getText());
            }
        }
        return new CommandCall(fields);
    }

    /** The caller's number of this call, which its reply repeats. */
    long callNumber() throws IOException {
        return number("call");
    }

    /** A field's text, or null. */
    String text(String field) {
        return fields.get(field);
    }

    String text(String field, String absent) {
        return fields.getOrDefault(field, absent);
    }

    boolean flag(String field) {
        return Boolean.parseBoolean(fields.get(field));
    }

    /** A field's number; 0 where the field is absent. */
    long number(String field) throws IOException {
        try {
            return Long.parseLong(fields.getOrDefault(field, "0"));
        } catch (NumberFormatException invalid) {
            throw new IOException("field " + field + ": must be a whole number", invalid);
        }
    }
}
