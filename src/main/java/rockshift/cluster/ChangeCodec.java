package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import rockshift.cluster.Change.Kind;

/** The JSON encoding of a change in the log, in snapshots and on the wire, see docs/raft.md. */
final class ChangeCodec {
    private static final JsonFactory JSON = new JsonFactory();

    private static final int MAX_NAME_CHARACTERS = 200;
    private static final int MAX_REASON_CHARACTERS = 500;

    private ChangeCodec() {}

    static byte[] encode(Change change) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            write(change, json);
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Writes the fields of a change into a JSON object that is already open. */
    static void write(Change change, JsonGenerator json) throws IOException {
        json.writeStringField("change", change.kind().name().toLowerCase(Locale.ROOT));
        json.writeStringField("subject", change.subject());
        if (change.kind() == Kind.DRAIN) {
            json.writeNumberField("started", change.started());
        }
        if (change.setsValue()) {
            json.writeNumberField("value", change.value());
        }
        writeIfPresent(json, "reason", change.reason());
        writeIfPresent(json, "service", change.service());
        writeIfPresent(json, "zone", change.zone());
    }

    private static void writeIfPresent(JsonGenerator json, String field, String value)
            throws IOException {
        if (!value.isEmpty()) {
            json.writeStringField(field, value);
        }
    }

    static Change decode(byte[] text) throws IOException {
        try (JsonParser json = JSON.createParser(text)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new Change.MalformedChangeException("change", "no JSON object");
            }
            return read(json);
        }
    }

    /** Reads the fields of a change; the opening brace has been read already. */
    static Change read(JsonParser json) throws IOException {
        Fields fields = new Fields();
        while (json.nextToken() != JsonToken.END_OBJECT) {
            String field = json.currentName();
            json.nextToken();
            fields.read(field, json);
        }
        return fields.toChange();
    }

    /** The fields read so far. */
    private static final class Fields {
        private Kind kind;
        private String subject;
        private long started;
        private Double value;
        private String reason = "";
        private String service = "";
        private String zone = "";

        void read(String field, JsonParser json) throws IOException {
            switch (field) {
                case "change" -> kind = readKind(json.getText());
                case "subject" -> subject = readName(json, field);
                case "reason" -> reason = readText(json, field, MAX_REASON_CHARACTERS);
                case "service" -> service = readScopeName(json, field);
                case "zone" -> zone = readScopeName(json, field);
                case "started" -> started = readStart(json, field);
                case "value" -> value = readNumber(json, field);
                default -> throw new Change.MalformedChangeException(field, "is not known");
            }
        }

        Change toChange() throws Change.MalformedChangeException {
            if (kind == null) {
                throw new Change.MalformedChangeException("change", "is missing");
            } else if (subject == null) {
                throw new Change.MalformedChangeException("subject", "is missing");
            }
            double number = value == null ? 0 : value;
            Change change = new Change(kind, subject, started, number, reason, service, zone);
            if (change.setsValue() == (value == null)) {
                throw new Change.MalformedChangeException(
                        "value", value == null ? "is missing" : "has no meaning here");
            }
            if (!change.isScoped() && !(service + zone).isEmpty()) {
                throw new Change.MalformedChangeException(
                        service.isEmpty() ? "zone" : "service", "has no meaning here");
            }
            return change;
        }
    }

    /** The JSON contains the lower-case names of the constants: renaming one changes the JSON. */
    private static Kind readKind(String word) throws Change.MalformedChangeException {
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(word)) {
                return kind;
            }
        }
        throw new Change.MalformedChangeException(
                "change", "'" + word + "' is none of drain, hold, back, budget, term");
    }

    private static String readText(JsonParser json, String field, int maxCharacters)
            throws IOException {
        if (json.currentToken() != JsonToken.VALUE_STRING
                || json.getText().length() > maxCharacters) {
            throw textExpected(field, maxCharacters);
        }
        return json.getText();
    }

    private static String readName(JsonParser json, String field) throws IOException {
        String name = readText(json, field, MAX_NAME_CHARACTERS);
        if (name.isEmpty()) {
            throw textExpected(field, MAX_NAME_CHARACTERS);
        }
        return name;
    }

    private static Change.MalformedChangeException textExpected(String field, int maxCharacters) {
        return new Change.MalformedChangeException(
                field, "must be text of at most " + maxCharacters + " characters");
    }

    private static String readScopeName(JsonParser json, String field) throws IOException {
        String name = readText(json, field, Change.MAX_SCOPE_CHARACTERS);
        if (!Change.isScopeName(name)) {
            throw new Change.MalformedChangeException(
                    field, "must be letters, digits and . : @ / + - _");
        }
        return name;
    }

    private static long readStart(JsonParser json, String field) throws IOException {
        if (json.currentToken() != JsonToken.VALUE_NUMBER_INT || json.getLongValue() < 0) {
            throw new Change.MalformedChangeException(field, "must be ms of Unix time");
        }
        return json.getLongValue();
    }

    private static double readNumber(JsonParser json, String field) throws IOException {
        if (!json.currentToken().isNumeric() || !Double.isFinite(json.getDoubleValue())) {
            throw new Change.MalformedChangeException(field, "must be a number");
        }
        return json.getDoubleValue();
    }
}
