package rockshift.settings;

/** Thrown if a setting is missing or has an invalid value. */
public class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String reason;

    /**
     * Creates an exception for one setting.
     *
     * @param field name of the setting
     * @param reason what is wrong with its value, worded to follow the name
     */
    public InvalidSettingException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
        this.reason = reason;
    }

    /** Returns the name of the setting. */
    public final String field() {
        return field;
    }

    /** Returns what is wrong with the value, worded to follow the name of the setting. */
    public final String reason() {
        return reason;
    }
}
