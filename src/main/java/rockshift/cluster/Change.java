package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One change of what is agreed, as staff ask for it. The schema stands in docs/raft.md.
 *
 * @param subject the replica, or the name of a budget or term
 * @param started of a drain: the start of the replica that is meant, in ms of Unix time; 0 for whichever runs
 * @param value of a budget or term
 * @param reason for the record; may be empty
 */
public record Change(Kind kind, String subject, long started, double value, String reason) {
    /** Drain until the replica starts anew, hold out until let back, let back; set a budget or a term. */
    public enum Kind {
        DRAIN, HOLD, BACK, BUDGET, TERM
    }

    private static final JsonFactory JSON = new JsonFactory();
    /** Characters of the longest name and reason. */
    private static final int LONGEST_NAME = 200;
    private static final int LONGEST_REASON = 500;

    /** A change that can't be understood; the message names the field. */
    public static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        Malformed(String field, String what) {
            super("field " + field + ": " + what);
        }
    }

    public byte[] json() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = JSON.createGenerator(text)) {
            out.writeStartObject();
            write(out);
            out.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    void write(JsonGenerator out) throws IOException {
        out.writeStringField("change", kind.name().toLowerCase(Locale.ROOT));
        out.writeStringField("subject", subject);
        if (kind == Kind.DRAIN) {
            out.writeNumberField("started", started);
        }
        if (kind == Kind.BUDGET || kind == Kind.TERM) {
            out.writeNumberField("value", value);
        }
        if (!reason.isEmpty()) {
            out.writeStringField("reason", reason);
        }
    }

    public static Change read(byte[] json) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("change", "no JSON object");
            }
            return read(in);
        }
    }

    /** Reads one from its opening brace on. */
    static Change read(JsonParser in) throws IOException {
        Kind kind = null;
        String subject = null;
        long started = 0;
        Double value = null;
        String reason = "";
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            JsonToken token = in.nextToken();
            switch (field) {
                case "change" -> kind = kind(in.getText());
                case "subject" -> subject = text(in, field, LONGEST_NAME);
                case "reason" -> reason = text(in, field, LONGEST_REASON);
                case "started" -> {
                    if (token != JsonToken.VALUE_NUMBER_INT || in.getLongValue() < 0) {
                        throw new Malformed(field, "must be ms of Unix time");
                    }
                    started = in.getLongValue();
                }
                case "value" -> {
                    if (!token.isNumeric() || !Double.isFinite(in.getDoubleValue())) {
                        throw new Malformed(field, "must be a number");
                    }
                    value = in.getDoubleValue();
                }
                default -> throw new Malformed(field, "is not known");
            }
        }
        if (kind == null) {
            throw new Malformed("change", "is missing");
        } else if (subject == null) {
            throw new Malformed("subject", "is missing");
        } else if ((kind == Kind.BUDGET || kind == Kind.TERM) == (value == null)) {
            throw new Malformed("value", value == null ? "is missing" : "has no meaning here");
        }
        return new Change(kind, subject, started, value == null ? 0 : value, reason);
    }

    private static Kind kind(String word) throws Malformed {
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(word)) {
                return kind;
            }
        }
        throw new Malformed("change", "'" + word + "' is none of drain, hold, back, budget, term");
    }

    private static String text(JsonParser in, String field, int longest) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING || in.getText().length() > longest
                || field.equals("subject") && in.getText().isEmpty()) {
            throw new Malformed(field, "must be text of at most " + longest + " characters");
        }
        return in.getText();
    }
}
