package rockshift.cluster;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * A change to the agreed state, as proposed by an operator. Immutable; docs/raft.md describes its
 * JSON schema.
 *
 * @param subject the name of the replica, budget or setting
 * @param started for a drain, the start time of the replica process to drain, in ms of Unix time; 0
 *     for whichever process runs
 * @param value the new value of a budget or setting
 * @param reason the operator's reason, kept with the change; may be empty
 * @param service for a drain or hold, the service that it applies to; empty for every service
 * @param zone for a drain or hold, the zone that it applies to; empty for every zone
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
     * The kind of a change. {@code DRAIN} drains a replica until it restarts or is undrained,
     * {@code HOLD} until it is undrained, and {@code BACK} undrains it. {@code BUDGET} sets a
     * budget. {@code TERM}, which is unrelated to Raft terms, overrides a setting that may change
     * at run time. The JSON contains the names of the constants in lower case.
     */
    public enum Kind {
        DRAIN,
        HOLD,
        BACK,
        BUDGET,
        TERM
    }

    /** The maximum length of a service or zone name. */
    static final int MAX_SCOPE_CHARACTERS = 100;

    private static final Pattern SCOPE_NAME = Pattern.compile("[\\w.:@/+-]*");

    /** Thrown for a change that cannot be decoded; the message names the field. */
    public static final class MalformedChangeException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedChangeException(String field, String problem) {
            super("field " + field + ": " + problem);
        }
    }

    /** Creates a change that applies to every service and zone. */
    public Change(Kind kind, String subject, long started, double value, String reason) {
        this(kind, subject, started, value, reason, "", "");
    }

    /** Returns this change limited to a zone, or unchanged if the zone name is not valid. */
    public Change inZone(String name) {
        return !isScopeName(name)
                ? this
                : new Change(kind, subject, started, value, reason, service, name);
    }

    /** Returns this change for the replica process that started at this time. */
    public Change startedAt(long unixMillis) {
        return new Change(kind, subject, unixMillis, value, reason, service, zone);
    }

    /** Returns whether a change of this kind may be limited to one service or zone. */
    public boolean isScoped() {
        return kind == Kind.DRAIN || kind == Kind.HOLD;
    }

    /** Returns whether this change sets a number. */
    boolean setsValue() {
        return kind == Kind.BUDGET || kind == Kind.TERM;
    }

    /** Returns whether a text is a valid service or zone name, or empty, which stands for all. */
    public static boolean isScopeName(String name) {
        return name.length() <= MAX_SCOPE_CHARACTERS && SCOPE_NAME.matcher(name).matches();
    }

    /** Returns the JSON form of this change. */
    public byte[] json() {
        return ChangeCodec.encode(this);
    }

    /**
     * Decodes a change from its JSON form.
     *
     * @throws IOException if it cannot be decoded
     */
    public static Change read(byte[] json) throws IOException {
        return ChangeCodec.decode(json);
    }
}
