package rockshift.settings;

/** A setting whose value cannot be used. */
public class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;
    private final String field;
    private final String reason;

    /**
     * An error of one setting.
     *
     * @param field name of the setting
     * @param reason what is wrong with its value, in words that follow the name
     */
    public InvalidSettingException(String field, String reason) {
        super(field + ": " + reason);
        this.field = field;
        this.reason = reason;
    }

    /** Name of the setting. */
    public final String field() {
        return field;
    }

    /** What is wrong with the value, in words that follow the field's name. */
    public final String reason() {
        return reason;
    }
}
