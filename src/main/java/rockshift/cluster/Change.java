package rockshift.cluster;

import java.io.IOException;
import java.util.regex.Pattern;

/**
 * One change of what is agreed, as operators ask for it. Immutable; docs/raft.md has its schema.
 *
 * @param subject the replica, or the name of a budget or setting
 * @param started of a drain: the start of the replica that is meant, in ms of Unix time; 0 for
 *     whichever runs
 * @param value of a budget or setting
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
     * Drain until the replica starts anew, hold out until let back, let back; set a budget, or
     * ({@code TERM}, which has nothing to do with a term of Raft) override a setting that may
     * change while running. The constants in lower case are the words of the JSON.
     */
    public enum Kind {
        DRAIN,
        HOLD,
        BACK,
        BUDGET,
        TERM
    }

    /** The longest name of a service or zone. */
    static final int MAX_SCOPE_CHARACTERS = 100;

    private static final Pattern SCOPE_NAME = Pattern.compile("[\\w.:@/+-]*");

    /** A change that cannot be understood; the message names the field. */
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

    /** Whether it sets a number. */
    boolean setsValue() {
        return kind == Kind.BUDGET || kind == Kind.TERM;
    }

    /** Whether a text can be the name of a service or zone, or stand for all of them. */
    public static boolean isScopeName(String name) {
        return name.length() <= MAX_SCOPE_CHARACTERS && SCOPE_NAME.matcher(name).matches();
    }

    /** Its JSON form. */
    public byte[] json() {
        return ChangeCodec.encode(this);
    }

    /**
     * A change from its JSON form.
     *
     * @throws IOException if it cannot be understood
     */
    public static Change read(byte[] json) throws IOException {
        return ChangeCodec.decode(json);
    }
}
