package rockshift.settings;

/**
 * Checks shared by the settings classes. A limit may be infinite; no number may be negative or NaN.
 */
final class SettingChecks {
    private SettingChecks() {}

    static void requireNotNegative(String field, double value) {
        if (!(value >= 0)) {
            throw new InvalidSettingException(field, "must be a number >= 0, got " + value);
        }
    }
}
