package rockshift.cluster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * One change of what is agreed, as staff ask for it. The schema stands in docs/raft.md.
 *
 * @param subject the replica, or the name of a budget or term
 * @param started of a drain: the start of the replica that is meant, in ms of Unix time; 0 for
 *     whichever runs
 * @param value of a budget or term
 * @param reason for the record; may be empty
 * @param service of a drain or hold: the service that it concerns; empty for every service
 * @param zone of a drain or hold: the zone that it concerns; empty for every zone
 */
public record Change(
        Kind kind,
        String subject,
        long started,
        double value,
        String reason,
        String service,
        String zone) {
    /**
     * Drain until the replica starts anew, hold out until let back, let back; set a budget or a
     * term.
     */
    public enum Kind {
        DRAIN,
        HOLD,
        BACK,
        BUDGET,
        TERM
    }

    private static final JsonFactory JSON = new JsonFactory();

    /** Characters of the longest name and reason. */
    private static final int LONGEST_NAME = 200;

    private static final int LONGEST_REASON = 500;

    /** Characters of the longest service and zone, and what they may consist of. */
    private static final int LONGEST_SCOPE = 100;

    private static final Pattern SCOPE_NAME = Pattern.compile("[\\w.:@/+-]*");

    /** A change that can't be understood; the message names the field. */
    public static final class MalformedChangeException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedChangeException(String field, String what) {
            super("field " + field + ": " + what);
        }
    }

    /** A change that concerns everyone. */
    public Change(Kind kind, String subject, long started, double value, String reason) {
        this(kind, subject, started, value, reason, "", "");
    }

    /** The same change, as it concerns one zone; unchanged where no change may name that zone. */
    public Change inZone(String name) {
        return !isScopeName(name)
                ? this
                : new Change(kind, subject, started, value, reason, service, name);
    }

    /** The same change, of the replica that started then. */
    public Change startedAt(long unixMillis) {
        return new Change(kind, subject, unixMillis, value, reason, service, zone);
    }

    /** Whether it is of a kind that may concern one service or zone alone. */
    public boolean isScoped() {
        return kind == Kind.DRAIN || kind == Kind.HOLD;
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
        if (!service.isEmpty()) {
            out.writeStringField("service", service);
        }
        if (!zone.isEmpty()) {
            out.writeStringField("zone", zone);
        }
    }

    public static Change read(byte[] json) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new MalformedChangeException("change", "no JSON object");
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
        String service = "";
        String zone = "";
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            JsonToken token = in.nextToken();
            switch (field) {
                case "change" -> kind = kind(in.getText());
                case "subject" -> subject = text(in, field, LONGEST_NAME);
                case "reason" -> reason = text(in, field, LONGEST_REASON);
                case "service" -> service = scopeName(in, field);
                case "zone" -> zone = scopeName(in, field);
                case "started" -> {
                    if (token != JsonToken.VALUE_NUMBER_INT || in.getLongValue() < 0) {
                        throw new MalformedChangeException(field, "must be ms of Unix time");
                    }
                    started = in.getLongValue();
                }
                case "value" -> {
                    if (!token.isNumeric() || !Double.isFinite(in.getDoubleValue())) {
                        throw new MalformedChangeException(field, "must be a number");
                    }
                    value = in.getDoubleValue();
                }
                default -> throw new MalformedChangeException(field, "is not known");
            }
        }
        if (kind == null) {
            throw new MalformedChangeException("change", "is missing");
        } else if (subject == null) {
            throw new MalformedChangeException("subject", "is missing");
        } else if ((kind == Kind.BUDGET || kind == Kind.TERM) == (value == null)) {
            throw new MalformedChangeException(
                    "value", value == null ? "is missing" : "has no meaning here");
        }
        Change change =
                new Change(
                        kind, subject, started, value == null ? 0 : value, reason, service, zone);
        if (!change.isScoped() && !(service + zone).isEmpty()) {
            throw new MalformedChangeException(
                    service.isEmpty() ? "zone" : "service", "has no meaning here");
        }
        return change;
    }

    private static String scopeName(JsonParser in, String field) throws IOException {
        String name = text(in, field, LONGEST_SCOPE);
        if (!isScopeName(name)) {
            throw new MalformedChangeException(field, "must be letters, digits and . : @ / + - _");
        }
        return name;
    }

    /** Whether a text can be the name of a service or zone, or stand for all of them. */
    public static boolean isScopeName(String name) {
        return name.length() <= LONGEST_SCOPE && SCOPE_NAME.matcher(name).matches();
    }

    private static Kind kind(String word) throws MalformedChangeException {
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(word)) {
                return kind;
            }
        }
        throw new MalformedChangeException(
                "change", "'" + word + "' is none of drain, hold, back, budget, term");
    }

    private static String text(JsonParser in, String field, int longest) throws IOException {
        if (in.currentToken() != JsonToken.VALUE_STRING
                || in.getText().length() > longest
                || field.equals("subject") && in.getText().isEmpty()) {
            throw new MalformedChangeException(
                    field, "must be text of at most " + longest + " characters");
        }
        return in.getText();
    }
}
